package instance

import (
	"cmp"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/logger"
	"github.com/chervilvane/chervilvane/pooler"
	"github.com/chervilvane/chervilvane/unit"
)

const (
	// pingEvery is the time between signs of life on an idle connection. It is
	// a fraction of tcpSilence, so one lost sign ends nothing.
	pingEvery = 400 * time.Millisecond
	// tcpSilence is the time without a sign of life after which a connection
	// is given up: it bounds how long calls go to a connection that died
	// without a reset. A stalled process (garbage collection, a quota that is
	// used up) stays silent for less.
	tcpSilence = 1200 * time.Millisecond
	// tcpDialTimeout bounds one attempt to connect; a partition drops the
	// opening packet silently.
	tcpDialTimeout = 700 * time.Millisecond
	// redialAfter is how long a failed attempt answers further calls, so that
	// a peer that is down isn't dialled for each of them.
	redialAfter = 100 * time.Millisecond
	// writeTimeout bounds one write to a peer that doesn't read.
	writeTimeout = 3 * time.Second
	// maxQueued bounds the bytes that wait for one connection.
	maxQueued = 16 << 20
)

// TCPMeshConfig configures a TCP mesh. Logger and Metrics may be nil.
type TCPMeshConfig struct {
	// ListenAddress is where the mesh is bound, as IP:PORT.
	ListenAddress string
	// AdvertiseAddress is the address that peers dial, and the name under which they
	// know this instance; empty is the bound one. If it differs, connections to
	// peers leave from the bound IP, so that what stands between can tell them
	// apart.
	AdvertiseAddress string
	Logger           logrus.FieldLogger
	Metrics          tally.Scope
}

// TCPMesh is a mesh over plain TCP, for a closed network in which instances have
// no certificates. An instance is named by its mesh address, so any instance
// can be called without a list of peers. Each side dials for its own calls;
// replies come back on the same connection.
type TCPMesh struct {
	cfg      TCPMeshConfig
	log      logrus.FieldLogger
	metrics  metrics
	listener net.Listener
	handlers map[Method]Handler

	group errgroup.Group
	// calls runs the handlers of calls.
	calls pooler.Pool
	ctx   context.Context
	stop  context.CancelFunc

	mu    sync.Mutex
	links map[unit.Instance]*link
	// accepted are the connections that peers have dialled.
	accepted map[*wire]struct{}
}

var _ Caller = (*TCPMesh)(nil)

// NewTCPMesh binds the mesh's address. Handlers are added next, then Run serves.
func NewTCPMesh(cfg TCPMeshConfig) (*TCPMesh, error) {
	if cfg.Logger == nil {
		cfg.Logger = logger.Discard()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	ln, err := net.Listen("tcp", cfg.ListenAddress)
	if err != nil {
		return nil, errors.Wrap(err, "binding the mesh address")
	}
	t := &TCPMesh{
		cfg: cfg, log: cfg.Logger, metrics: newMetrics(cfg.Metrics), listener: ln,
		handlers: map[Method]Handler{},
		links:    map[unit.Instance]*link{},
		accepted: map[*wire]struct{}{},
	}
	t.ctx, t.stop = context.WithCancel(context.Background())
	return t, nil
}

// Self returns the name of this instance.
func (t *TCPMesh) Self() unit.Instance {
	return unit.Instance(cmp.Or(t.cfg.AdvertiseAddress, t.listener.Addr().String()))
}

// Handle sets the handler of a method, for calls and for one-way messages. It
// is called before Run. One-way messages of a peer are handled one at a time
// in order, so their handlers must not block.
func (t *TCPMesh) Handle(method Method, h Handler) { t.handlers[method] = h }

// Run serves until ctx ends and returns once all goroutines have ended.
func (t *TCPMesh) Run(ctx context.Context) error {
	stopped := context.AfterFunc(ctx, t.stop)
	defer stopped()
	t.group.Go(t.accept)
	<-t.ctx.Done()
	err := t.listener.Close()
	t.mu.Lock()
	for w := range t.accepted {
		w.close(errors.New("the mesh is closing"))
	}
	for _, l := range t.links {
		l.close()
	}
	t.mu.Unlock()
	failed := t.group.Wait()
	t.calls.Wait()
	return errors.CombineErrors(failed, err)
}

// Close ends the mesh.
func (t *TCPMesh) Close() { t.stop() }

func (t *TCPMesh) accept() error {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			if t.ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accepting connections of the mesh")
		}
		w := t.newWire(c, "")
		t.mu.Lock()
		t.accepted[w] = struct{}{}
		t.mu.Unlock()
		w.run(func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			delete(t.accepted, w)
		})
	}
}

func (t *TCPMesh) link(to unit.Instance) *link {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[to]
	if l == nil {
		l = &link{mesh: t, to: to}
		t.links[to] = l
	}
	return l
}

// Call implements Caller. A call to the instance itself goes straight to the
// handler.
func (t *TCPMesh) Call(ctx context.Context, to unit.Instance, method Method, body []byte) ([]byte, error) {
	t.metrics.calls.Inc(1)
	answer, err := t.call(ctx, to, method, body)
	if err != nil {
		t.metrics.callFailures.Inc(1)
	}
	return answer, err
}

func (t *TCPMesh) call(ctx context.Context, to unit.Instance, method Method, body []byte) ([]byte, error) {
	if len(body) > MaxBody || len(method) > maxMethodName {
		return nil, &CallError{Peer: to, Cause: errors.Newf("a body of %d bytes is too long", len(body))}
	}
	if to == t.Self() {
		return callHandler(ctx, t.handlers, to, method, body)
	}
	w, err := t.link(to).connection(ctx)
	if err != nil {
		return nil, &CallError{Peer: to, Cause: err}
	}
	reply, err := w.exchange(ctx, method, body)
	if err != nil {
		return nil, &CallError{Peer: to, MaybeDelivered: true, Cause: err}
	}
	return answerOf(to, replyFrame{Status: reply.status, Body: reply.body})
}

// Send gives a one-way message to a method of a peer and returns at once. What
// arrives does so in the order of sending. A message is dropped while there is
// no connection, when the queue is full and when the connection is lost.
func (t *TCPMesh) Send(to unit.Instance, method Method, body []byte) {
	t.metrics.notes.Inc(1)
	if to == t.Self() || len(body) > MaxBody {
		t.metrics.notesDropped.Inc(1)
		return
	}
	l := t.link(to)
	w := l.current()
	if w == nil {
		l.dialInBackground()
		t.metrics.notesDropped.Inc(1)
		return
	}
	if !w.send(wireFrame{kind: wireNote, method: method, body: body}) {
		t.metrics.notesDropped.Inc(1)
	}
}

// link is the way to one peer.
type link struct {
	mesh *TCPMesh
	to   unit.Instance

	mu      sync.Mutex
	wire    *wire
	dialing chan struct{}
	failure error
	failed  time.Time
}

func (l *link) current() *wire {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wire
}

func (l *link) close() {
	if w := l.current(); w != nil {
		w.close(errors.New("the mesh is closing"))
	}
}

// connection returns the connection, dialling if there is none. It fails at
// once for a short time after a failed attempt.
func (l *link) connection(ctx context.Context) (*wire, error) {
	for {
		l.mu.Lock()
		w, failure, recent := l.wire, l.failure, time.Since(l.failed) < redialAfter
		l.mu.Unlock()
		if w != nil {
			return w, nil
		}
		if failure != nil && recent {
			return nil, failure
		}
		select {
		case <-l.dialInBackground():
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "waiting for a connection")
		}
	}
}

// dialInBackground starts an attempt, unless one is under way or has just
// failed, and returns what is closed at its end.
func (l *link) dialInBackground() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.dialing != nil {
		return l.dialing
	}
	done := make(chan struct{})
	if l.wire != nil || time.Since(l.failed) < redialAfter || l.mesh.ctx.Err() != nil {
		close(done)
		return done
	}
	l.dialing = done
	l.mesh.group.Go(func() error {
		defer close(done)
		l.dial()
		return nil
	})
	return done
}

func (l *link) dial() {
	ctx, cancel := context.WithTimeout(l.mesh.ctx, tcpDialTimeout)
	defer cancel()
	d := l.mesh.dialer()
	c, err := d.DialContext(ctx, "tcp", string(l.to))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialing = nil
	if err != nil {
		l.mesh.metrics.dialFailures.Inc(1)
		l.failure, l.failed = errors.Wrapf(err, "connecting to %s", l.to), time.Now()
		return
	}
	l.failure = nil
	w := l.mesh.newWire(c, l.to)
	l.wire = w
	l.mesh.log.WithField(logger.FieldPeer, l.to).Info("connected to an instance")
	w.run(func() { l.lost(w) })
}

func (t *TCPMesh) dialer() *net.Dialer {
	bound, ok := t.listener.Addr().(*net.TCPAddr)
	if !ok || t.cfg.AdvertiseAddress == "" || t.cfg.AdvertiseAddress == bound.String() {
		return &net.Dialer{}
	}
	return &net.Dialer{LocalAddr: &net.TCPAddr{IP: bound.IP}}
}

func (l *link) lost(w *wire) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.wire == w {
		l.wire = nil
	}
	l.mesh.log.WithField(logger.FieldPeer, l.to).WithError(w.cause()).Info("lost the connection to an instance")
}

// callHandler runs the handler of a call that this instance makes to itself.
func callHandler(ctx context.Context, handlers map[Method]Handler, self unit.Instance, method Method, body []byte) ([]byte, error) {
	h, known := handlers[method]
	if !known {
		return nil, &CallError{Peer: self, Cause: errors.Newf("no method %s", method)}
	}
	answer, err := h(ctx, self, body)
	if err != nil {
		return nil, &RemoteError{Peer: self, Message: err.Error()}
	}
	return answer, nil
}

// timeoutOf returns the time left of a call, bounded for the frame.
func timeoutOf(ctx context.Context) clock.Millis {
	return min(timeLeft(ctx), clock.Hour)
}
