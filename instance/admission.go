package instance

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/admitter"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/logger"
	"github.com/chervilvane/chervilvane/unit"
)

const (
	// acceptDelay is the wait after a connection couldn't be accepted.
	acceptDelay = 20 * clock.Millisecond
	// callCost is the memory of a call in progress beside its frame: a goroutine and contexts.
	callCost = 4 << 10
	// admissionLogInterval is the shortest time between two log lines about refusals.
	admissionLogInterval = time.Second
)

// errNoMemory closes a connection whose frame would exceed the memory of the mesh.
var errNoMemory = errors.New("the mesh has no memory left for the frames of this address")

// tcpAdmission bounds what connections that others dialled make the process hold. The links aren't
// authenticated, so each remote IP address has a part of the memory: one that floods leaves some
// to the others. The zero value has no bounds.
type tcpAdmission struct {
	mu          sync.Mutex
	budget      *admitter.Budget
	connections *admitter.Connections
	loggedAt    time.Time
}

func (a *tcpAdmission) init(cfg TCPMeshConfig) {
	if cfg.MaxBytes > 0 {
		a.budget = admitter.NewBudget(cfg.MaxBytes)
	}
	if cfg.MaxConnections > 0 {
		// A peer has one connection, or two while it dials again. Half of all leaves room for
		// the others beside an address that floods.
		a.connections = admitter.NewConnections(cfg.MaxConnections, max(cfg.MaxConnections/2, 1))
	}
}

// admitConn takes a connection into the bounds and returns a function that ends that. It closes the
// connection and returns false if it is beyond them. Connections without data are closed after
// tcpIdleTimeout, so none is displaced.
func (t *TCPMesh) admitConn(c net.Conn) (closed func(), ok bool) {
	a := &t.admission
	if a.connections == nil {
		return func() {}, true
	}
	a.mu.Lock()
	opened, _ := a.connections.Open(string(holder(c)), 0)
	a.mu.Unlock()
	if opened != nil {
		return func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.connections.Close(opened)
		}, true
	}
	t.metrics.refusedConnections.Inc(1)
	t.logRefusal("too many connections", c.RemoteAddr().String())
	_ = c.Close()
	return nil, false
}

// logRefusal writes a log line, at most one in admissionLogInterval.
func (t *TCPMesh) logRefusal(why, remote string) {
	a := &t.admission
	a.mu.Lock()
	silent := time.Since(a.loggedAt) < admissionLogInterval
	if !silent {
		a.loggedAt = time.Now()
	}
	a.mu.Unlock()
	if !silent {
		t.log.WithField(logger.FieldPeer, remote).WithField("Reason", why).Warn("refusing a peer beyond the limits")
	}
}

// holder returns on whose account a connection that was accepted takes memory.
func holder(c net.Conn) admitter.Holder {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return admitter.Holder(host)
}

// acquire takes n bytes more for a request. Connections that this instance dialled have no bound.
func (c *tcpConn) acquire(r *admitter.Request, n unit.Bytes) bool {
	a := &c.mesh.admission
	if c.dialledPeer != "" || a.budget == nil {
		return true
	}
	a.mu.Lock()
	ok := a.budget.Acquire(r, n)
	a.mu.Unlock()
	if !ok {
		c.mesh.metrics.refusedFrames.Inc(1)
		c.mesh.logRefusal(errNoMemory.Error(), string(c.from))
	}
	return ok
}

// release gives back what a request holds. r may be nil.
func (c *tcpConn) release(r *admitter.Request) {
	if r == nil || c.dialledPeer != "" || c.mesh.admission.budget == nil {
		return
	}
	a := &c.mesh.admission
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget.Release(r)
}

// isTemporary reports whether a failed accept may succeed later.
func isTemporary(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ECONNABORTED) ||
		errors.Is(err, syscall.ENOBUFS) || errors.Is(err, syscall.ENOMEM)
}
