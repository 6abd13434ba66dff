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
	// pingInterval is the time between pings on an idle connection. It is a
	// fraction of tcpIdleTimeout, so that one lost ping doesn't close the
	// connection.
	pingInterval = 400 * time.Millisecond
	// tcpIdleTimeout is the time without any data from the peer after which a
	// connection is closed. It bounds how long calls use a connection that broke
	// without a reset. It is longer than the time for which garbage collection or
	// an exhausted CPU quota usually stalls a process.
	tcpIdleTimeout = 1200 * time.Millisecond
	// tcpDialTimeout bounds one attempt to connect. In a network partition the
	// SYN packet is dropped without an error.
	tcpDialTimeout = 700 * time.Millisecond
	// redialDelay is how long further calls fail at once with the error of a
	// failed attempt to connect, so that not every call dials a peer that is
	// down.
	redialDelay = 100 * time.Millisecond
	// writeTimeout bounds one write to a peer that doesn't read.
	writeTimeout = 3 * time.Second
	// maxConnQueueBytes bounds the queued frames of one connection.
	maxConnQueueBytes = 16 << 20
)

// TCPMeshConfig configures a TCP mesh. Logger and Metrics may be nil.
type TCPMeshConfig struct {
	// ListenAddress is the address to bind, as IP:PORT.
	ListenAddress string
	// AdvertiseAddress is the address that peers dial and the name of this
	// instance, as IP:PORT. If it is empty, the bound address is used. If it
	// differs from the bound address, connections to peers are made from the
	// bound IP, so that a proxy between the instances can distinguish them.
	AdvertiseAddress string
	// MaxBytes bounds the memory of received frames, of calls in progress and of replies that wait
	// to be sent, on connections that others dialled; MaxConnections bounds these connections. 0
	// means no bound.
	MaxBytes       unit.Bytes
	MaxConnections int
	Logger         logrus.FieldLogger
	Metrics        tally.Scope
}

// TCPMesh is a mesh over plain TCP, for a closed network in which instances have no
// certificates. The name of an instance is its mesh address, so an instance can
// call any other without a list of peers. Each side dials for its own calls and
// gets the replies on the same connection.
type TCPMesh struct {
	cfg      TCPMeshConfig
	log      logrus.FieldLogger
	metrics  metrics
	listener net.Listener
	handlers map[Method]Handler

	group errgroup.Group
	// calls runs the handlers of received calls.
	calls pooler.Pool
	ctx   context.Context
	stop  context.CancelFunc

	mu    sync.Mutex
	peers map[unit.Instance]*tcpPeer
	// accepted holds the open connections that peers have dialled.
	accepted map[*tcpConn]struct{}

	admission tcpAdmission
}

var _ Caller = (*TCPMesh)(nil)

// NewTCPMesh returns a TCPMesh that is bound to its address. The caller then adds
// the handlers with Handle and calls Run.
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
		peers:    map[unit.Instance]*tcpPeer{},
		accepted: map[*tcpConn]struct{}{},
	}
	t.admission.init(cfg)
	t.ctx, t.stop = context.WithCancel(context.Background())
	return t, nil
}

// Self returns the name of this instance.
func (t *TCPMesh) Self() unit.Instance {
	return unit.Instance(cmp.Or(t.cfg.AdvertiseAddress, t.listener.Addr().String()))
}

// Handle sets the handler of a method, for calls and for one-way messages. It must
// be called before Run. The one-way messages of a peer are handled one at a time in
// order, so their handlers must not block.
func (t *TCPMesh) Handle(method Method, h Handler) { t.handlers[method] = h }

// Run serves the mesh until ctx ends or Close is called, and returns once every
// goroutine of the mesh has ended.
func (t *TCPMesh) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, t.stop)
	defer stop()
	t.group.Go(t.accept)
	<-t.ctx.Done()
	err := t.listener.Close()
	t.mu.Lock()
	for conn := range t.accepted {
		conn.close(errors.New("the mesh is closing"))
	}
	for _, p := range t.peers {
		p.close()
	}
	t.mu.Unlock()
	failed := t.group.Wait()
	t.calls.Wait()
	return errors.CombineErrors(failed, err)
}

// Close makes Run return. It doesn't wait for that.
func (t *TCPMesh) Close() { t.stop() }

func (t *TCPMesh) accept() error {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			if t.ctx.Err() != nil {
				return nil
			}
			if isTemporary(err) {
				// The process has no descriptor left, or the other side gave up. Neither ends
				// the mesh.
				t.metrics.refusedConnections.Inc(1)
				_ = clock.Sleep(t.ctx, acceptDelay)
				continue
			}
			return errors.Wrap(err, "accepting connections of the mesh")
		}
		closed, ok := t.admitConn(c)
		if !ok {
			continue
		}
		conn := t.newConn(c, "")
		t.mu.Lock()
		t.accepted[conn] = struct{}{}
		t.mu.Unlock()
		conn.run(func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			delete(t.accepted, conn)
			closed()
		})
	}
}

func (t *TCPMesh) peer(to unit.Instance) *tcpPeer {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[to]
	if p == nil {
		p = &tcpPeer{mesh: t, id: to}
		t.peers[to] = p
	}
	return p
}

// Call implements Caller. A call to the instance itself runs the handler directly.
func (t *TCPMesh) Call(ctx context.Context, to unit.Instance, method Method, body []byte) ([]byte, error) {
	t.metrics.calls.Inc(1)
	answer, err := t.call(ctx, to, method, body)
	if err != nil {
		t.metrics.callFailures.Inc(1)
	}
	return answer, err
}

func (t *TCPMesh) call(ctx context.Context, to unit.Instance, method Method, body []byte) ([]byte, error) {
	if len(body) > MaxBodyBytes || len(method) > maxMethodBytes {
		return nil, &CallError{Peer: to, Cause: errors.Newf("a body of %d bytes is too long", len(body))}
	}
	if to == t.Self() {
		return callHandler(ctx, t.handlers, to, method, body)
	}
	conn, err := t.peer(to).connection(ctx)
	if err != nil {
		return nil, &CallError{Peer: to, Cause: err}
	}
	reply, err := conn.call(ctx, method, body)
	if err != nil {
		return nil, &CallError{Peer: to, MaybeDelivered: true, Cause: err}
	}
	return decodeReply(to, replyFrame{Status: reply.status, Body: reply.body})
}

// Send queues a one-way message to a method of a peer and returns at once. Messages
// arrive in the order of sending. A message is dropped if there is no connection,
// if the queue is full, if the connection is lost, or if the peer is the instance
// itself.
func (t *TCPMesh) Send(to unit.Instance, method Method, body []byte) {
	t.metrics.messages.Inc(1)
	if to == t.Self() || len(body) > MaxBodyBytes {
		t.metrics.messagesDropped.Inc(1)
		return
	}
	p := t.peer(to)
	conn := p.current()
	if conn == nil {
		p.dialInBackground()
		t.metrics.messagesDropped.Inc(1)
		return
	}
	if !conn.send(tcpFrame{kind: kindMessage, method: method, body: body}) {
		t.metrics.messagesDropped.Inc(1)
	}
}

// tcpPeer is another instance and the connection that was dialled to it.
type tcpPeer struct {
	mesh *TCPMesh
	id   unit.Instance

	mu sync.Mutex
	// conn is the open connection, or nil.
	conn *tcpConn
	// dialing is closed at the end of the current attempt to connect. It is nil if
	// there is none.
	dialing chan struct{}
	// failure is the error of the last attempt to connect, which ended at failedAt.
	// It is nil if that attempt succeeded.
	failure  error
	failedAt time.Time
}

func (p *tcpPeer) current() *tcpConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conn
}

func (p *tcpPeer) close() {
	if conn := p.current(); conn != nil {
		conn.close(errors.New("the mesh is closing"))
	}
}

// connection returns the connection and dials the peer if there is none. For
// redialDelay after a failed attempt it returns the error at once.
func (p *tcpPeer) connection(ctx context.Context) (*tcpConn, error) {
	for {
		p.mu.Lock()
		conn, failure, recent := p.conn, p.failure, time.Since(p.failedAt) < redialDelay
		p.mu.Unlock()
		if conn != nil {
			return conn, nil
		}
		if failure != nil && recent {
			return nil, failure
		}
		select {
		case <-p.dialInBackground():
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "waiting for a connection")
		}
	}
}

// dialInBackground starts an attempt to connect, unless there is a connection or an
// attempt, or the last one failed less than redialDelay ago. It returns a channel
// that is closed at the end of the attempt.
func (p *tcpPeer) dialInBackground() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dialing != nil {
		return p.dialing
	}
	done := make(chan struct{})
	if p.conn != nil || time.Since(p.failedAt) < redialDelay || p.mesh.ctx.Err() != nil {
		close(done)
		return done
	}
	p.dialing = done
	p.mesh.group.Go(func() error {
		defer close(done)
		p.dial()
		return nil
	})
	return done
}

func (p *tcpPeer) dial() {
	ctx, cancel := context.WithTimeout(p.mesh.ctx, tcpDialTimeout)
	defer cancel()
	d := p.mesh.dialer()
	c, err := d.DialContext(ctx, "tcp", string(p.id))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialing = nil
	if err != nil {
		p.mesh.metrics.dialFailures.Inc(1)
		p.failure, p.failedAt = errors.Wrapf(err, "connecting to %s", p.id), time.Now()
		return
	}
	p.failure = nil
	conn := p.mesh.newConn(c, p.id)
	p.conn = conn
	p.mesh.log.WithField(logger.FieldPeer, p.id).Info("connected to a peer")
	conn.run(func() { p.connClosed(conn) })
}

// dialer returns the dialer for connections to peers; see AdvertiseAddress.
func (t *TCPMesh) dialer() *net.Dialer {
	bound, ok := t.listener.Addr().(*net.TCPAddr)
	if !ok || t.cfg.AdvertiseAddress == "" || t.cfg.AdvertiseAddress == bound.String() {
		return &net.Dialer{}
	}
	return &net.Dialer{LocalAddr: &net.TCPAddr{IP: bound.IP}}
}

func (p *tcpPeer) connClosed(conn *tcpConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == conn {
		p.conn = nil
	}
	p.mesh.log.WithField(logger.FieldPeer, p.id).WithError(conn.cause()).Info("the connection to a peer was closed")
}

// callHandler runs the handler of a call of the instance to itself.
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

// frameTimeout returns the time until the deadline of ctx, limited to an hour so
// that it fits into the 4 bytes of the frame.
func frameTimeout(ctx context.Context) clock.Millis {
	return min(timeUntilDeadline(ctx), clock.Hour)
}
