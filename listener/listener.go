// Package listener applies the decisions of package admitter to HTTP servers: it bounds the
// connections, the memory of headers and bodies, and the time that a body takes.
//
// One Admission holds the bounds of a process, for all its servers. A request that exceeds them
// is answered with 503 and Retry-After before its body is read, or while it is; a connection
// that exceeds them is closed. Nothing has run then.
package listener

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/chervilvane/chervilvane/admitter"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

const (
	// RetryAfter is when a refused client may come back. Stalled bodies end within 3 s.
	RetryAfter = 1 * clock.Second
	// logInterval is the shortest time between two log lines about refusals.
	logInterval = 1 * clock.Second
	// drainTimeout is how long the unread rest of a body may take after its response.
	drainTimeout = 300 * time.Millisecond
	// writeTimeout bounds one write to a client that doesn't read, beside the time that it takes
	// at the least rate.
	writeTimeout = 10 * time.Second
	// stopTimeout is how long clients may go on sending a request after the shutdown began, and how
	// long a write of a response may take then. A domain leaves 0.7 s for the end of its requests,
	// with the shortest grace time of the platform.
	stopTimeout = 500 * time.Millisecond
	// requestCost is the memory of a request in progress beside its header and body: contexts,
	// timers, a call of the mesh and the growth of its stack.
	requestCost = 8 << 10
)

// Errors of reading a body or charging memory.
var (
	// ErrOverloaded means that the process has no memory left for the request, which can come
	// back. It is answered with 503.
	ErrOverloaded = errors.New("the instance has too many requests in progress; come back")
	// ErrStalled means that the body didn't arrive in time. It is answered with 408.
	ErrStalled = errors.New("the body did not arrive in time")
	// ErrTooLong means that a body is longer than its limit.
	ErrTooLong = errors.New("the body is too long")
)

// Config configures an Admission. Logger and Metrics may be nil.
type Config struct {
	Limits  admitter.Limits
	Clock   clock.Clock
	Logger  logrus.FieldLogger
	Metrics tally.Scope
}

// Admission holds the bounds of a process. It is safe for concurrent use.
type Admission struct {
	cfg     Config
	metrics metrics

	mu          sync.Mutex
	budget      *admitter.Budget
	connections *admitter.Connections
	keys        *admitter.Keys
	open        map[*admitter.Connection]*conn
	// stopAt is when the last clients must have sent their requests; zero before the shutdown.
	stopAt time.Time
	// loggedAt is when the last line about a refusal was written, unlogged how many refusals
	// came since.
	loggedAt clock.Millis
	unlogged int
}

// metrics count what was refused.
type metrics struct {
	refusedRequests, refusedHeaders, stalledBodies, refusedConnections, displacedConnections tally.Counter
	bytes, connections                                                                       tally.Gauge
}

// New returns an Admission.
func New(c Config) *Admission {
	if c.Metrics == nil {
		c.Metrics = tally.NoopScope
	}
	s := c.Metrics.SubScope("admission")
	return &Admission{
		cfg: c,
		metrics: metrics{
			refusedRequests: s.Counter("requests_refused"), refusedHeaders: s.Counter("headers_refused"), stalledBodies: s.Counter("bodies_stalled"),
			refusedConnections: s.Counter("connections_refused"), displacedConnections: s.Counter("connections_displaced"),
			bytes: s.Gauge("bytes"), connections: s.Gauge("connections"),
		},
		budget:      admitter.NewBudget(c.Limits.RequestBytes),
		connections: admitter.NewConnections(c.Limits.Connections, c.Limits.ConnectionsPerAddress),
		keys:        admitter.NewKeys(),
		open:        map[*admitter.Connection]*conn{},
	}
}

// Policy is what a server says about its requests.
type Policy struct {
	// Holder returns the account of a request, empty if it is unknown, and how long its call may
	// wait; 0 if it doesn't say. It may be nil.
	Holder func(r *http.Request) (admitter.Holder, clock.Millis)
	// Refuse answers a request that was refused, with 503. Retry-After is set already.
	Refuse func(w http.ResponseWriter)
}

// Apply makes a server obey the bounds. The server must be served on a listener that Wrap has
// returned.
func (a *Admission) Apply(s *http.Server, p Policy) {
	s.Handler = &handler{a, p, s.Handler}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*conn); ok && state == http.StateIdle {
			c.endRequest()
		}
	}
}

// Stop bounds the time of clients that haven't sent their request in full, or don't read their
// response. It is called at the begin of a shutdown, which then doesn't wait for those that stall.
func (a *Admission) Stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.stopAt.IsZero() {
		return
	}
	a.stopAt = time.Now().Add(stopTimeout)
	for opened, c := range a.open {
		// A connection that was closed meanwhile has no deadline.
		switch opened.Phase() {
		case admitter.Receiving:
			_ = c.Conn.SetReadDeadline(a.stopAt)
		case admitter.Serving:
			// This ends a write to a client that doesn't read; the next write has its own time.
			_ = c.Conn.SetWriteDeadline(a.stopAt)
		}
	}
}

// note counts a refusal and logs it, at most once in logInterval.
func (a *Admission) note(counter tally.Counter, what, remote string) {
	counter.Inc(1)
	if a.cfg.Logger == nil {
		return
	}
	now := a.cfg.Clock.Now()
	a.mu.Lock()
	a.unlogged++
	count, silent := a.unlogged, now-a.loggedAt < logInterval
	if !silent {
		a.loggedAt, a.unlogged = now, 0
	}
	used, open := a.budget.Used(), a.connections.Count()
	a.mu.Unlock()
	if silent {
		return
	}
	a.cfg.Logger.WithFields(logrus.Fields{
		"Reason": what, "Remote": remote, "Refusals": count, "Bytes": int64(used), "Connections": open,
	}).Warn("refusing clients beyond the limits")
}

// Known reports whether a request with a key was served lately.
func (a *Admission) Known(key admitter.KeyHash) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.keys.Known(key)
}

// Learn records whether a request with a key was accepted.
func (a *Admission) Learn(key admitter.KeyHash, accepted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if accepted {
		a.keys.Learn(key)
	} else {
		a.keys.Forget(key)
	}
}

func (a *Admission) acquire(r *admitter.Request, n unit.Bytes) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	ok := a.budget.Acquire(r, n)
	a.metrics.bytes.Update(float64(a.budget.Used()))
	return ok
}

func (a *Admission) release(r *admitter.Request) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget.Release(r)
	a.metrics.bytes.Update(float64(a.budget.Used()))
}

// Wrap returns a listener whose connections are bounded together with those of all others.
func (a *Admission) Wrap(l net.Listener) net.Listener { return &boundedListener{l, a, a.connections} }

// WrapApart returns a listener with a bound of its own, which a flood at others doesn't use up.
func (a *Admission) WrapApart(l net.Listener, limit int) net.Listener {
	return &boundedListener{l, a, admitter.NewConnections(limit, limit)}
}

type boundedListener struct {
	net.Listener
	admission   *Admission
	connections *admitter.Connections
}

// Accept implements net.Listener. It closes connections beyond the bounds.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admission.admit(raw, l.connections); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

// admit returns the wrapped connection; nil if it must be closed.
func (a *Admission) admit(raw net.Conn, connections *admitter.Connections) *conn {
	remote := raw.RemoteAddr().String()
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		host = remote
	}
	a.mu.Lock()
	opened, victim := connections.Open(host, a.cfg.Clock.Now())
	var c, displaced *conn
	if victim != nil {
		displaced = a.open[victim]
		delete(a.open, victim)
	}
	if opened != nil {
		c = &conn{Conn: raw, admission: a, connections: connections, opened: opened, headers: admitter.Request{Holder: holderHeaders}}
		a.open[opened] = c
	}
	a.metrics.connections.Update(float64(a.connections.Count()))
	a.mu.Unlock()
	if displaced != nil {
		_ = displaced.Conn.Close()
		a.note(a.metrics.displacedConnections, "connections: displaced", displaced.RemoteAddr().String())
	}
	if c == nil {
		a.note(a.metrics.refusedConnections, "connections", remote)
	}
	return c
}
