package instance

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/errgroup"

	"github.com/chervilvane/chervilvane/certifier"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/logger"
	"github.com/chervilvane/chervilvane/unit"
)

// protocol is the ALPN name of the mesh. A change of the frames that older
// instances can't decode must increase its number.
const protocol = "chervilvane-mesh/1"

// DefaultRecheck is the default time between two checks of the connected peers'
// certificates.
const DefaultRecheck = 10 * clock.Second

const (
	// keepAliveInterval is the time between keep-alive packets on an idle
	// connection. Only the side that dialled sends them.
	keepAliveInterval = time.Second
	// idleTimeout is the time without any packet from the peer after which a
	// connection is closed.
	idleTimeout = 4 * time.Second
	// dialTimeout bounds one attempt to connect.
	dialTimeout = 2 * time.Second
	// maxStreams bounds the calls in progress from one peer.
	maxStreams = 4096
	// maxUniStreams bounds the streams of one-way messages from one peer. A peer
	// uses one at a time.
	maxUniStreams = 4
)

// Application error codes with which connections are closed and streams are
// cancelled.
const (
	codeClosing   quic.ApplicationErrorCode = 1
	codeIdentity  quic.ApplicationErrorCode = 2
	codeAbandoned quic.StreamErrorCode      = 1
	codeMalformed quic.StreamErrorCode      = 2
)

// Credentials authenticates an instance to its peers; certifier.FileCredentials and
// certifier.EphemeralCredentials implement it. The mesh requests a configuration
// for each new connection, so that changed certificates take effect without a
// restart.
type Credentials interface {
	// ServerTLS returns the configuration for accepting connections. It must
	// require a certificate of the authority.
	ServerTLS() *tls.Config
	// ClientTLS returns the configuration for connecting to a peer. It must
	// require a certificate with the peer's name.
	ClientTLS(peer unit.Instance) *tls.Config
	// Verify checks the peer's certificate of an established connection against
	// the current authority and returns the instance that it names.
	Verify(state tls.ConnectionState) (unit.Instance, error)
}

var (
	_ Credentials = (*certifier.FileCredentials)(nil)
	_ Credentials = (*certifier.EphemeralCredentials)(nil)
)

// Config configures a Mesh. Logger, Metrics and Tracer may be nil.
type Config struct {
	Self unit.Instance
	// ListenAddress is the UDP address to bind, as IP:PORT.
	ListenAddress string
	// Peers holds the mesh address of each instance of the fleet, as IP:PORT. An
	// entry for Self is ignored.
	Peers       map[unit.Instance]string
	Credentials Credentials
	Clock       clock.Clock
	// Recheck is the time between two checks of the connected peers'
	// certificates; 0 means DefaultRecheck.
	Recheck clock.Millis
	// MaxConnections bounds the connections that others open, those amid their handshake included;
	// 0 means no bound.
	MaxConnections int
	Logger         logrus.FieldLogger
	Metrics        tally.Scope
	Tracer         trace.Tracer
}

// Mesh connects an instance to its peers over QUIC.
type Mesh struct {
	cfg       Config
	log       logrus.FieldLogger
	metrics   metrics
	transport *quic.Transport
	handlers  map[Method]Handler
	peers     map[unit.Instance]*peer

	group errgroup.Group
	ctx   context.Context
	stop  context.CancelFunc
	// done is closed when Run has returned.
	done chan struct{}

	mu      sync.Mutex
	started bool

	// accepted is the number of connections that others have opened.
	accepted atomic.Int64
}

var _ Caller = (*Mesh)(nil)

// errTooManyConnections is why a connection is refused before its handshake.
var errTooManyConnections = errors.New("too many connections of the mesh")

// admit counts a connection that another opens, until its context ends. It returns an error at
// the bound: a handshake takes memory before the certificate of the other side is known.
func (m *Mesh) admit(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if m.cfg.MaxConnections > 0 && m.accepted.Add(1) > int64(m.cfg.MaxConnections) {
		m.accepted.Add(-1)
		m.metrics.refusedConnections.Inc(1)
		return nil, errTooManyConnections
	}
	context.AfterFunc(ctx, func() { m.accepted.Add(-1) })
	return ctx, nil
}

// New returns a Mesh that is bound to its address. The caller then adds the
// handlers with Handle and calls Run, or Close to release the address.
func New(cfg Config) (*Mesh, error) {
	if err := certifier.ValidateInstanceName(cfg.Self); err != nil {
		return nil, err
	}
	if cfg.Logger == nil {
		cfg.Logger = logger.Discard()
	}
	if cfg.Recheck == 0 {
		cfg.Recheck = DefaultRecheck
	}
	if cfg.Metrics == nil {
		cfg.Metrics = tally.NoopScope
	}
	addr, err := net.ResolveUDPAddr("udp", cfg.ListenAddress)
	if err != nil {
		return nil, errors.Wrapf(err, "mesh address %q", cfg.ListenAddress)
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "binding the mesh address")
	}
	m := &Mesh{
		cfg:       cfg,
		log:       cfg.Logger,
		metrics:   newMetrics(cfg.Metrics),
		transport: &quic.Transport{Conn: conn},
		handlers:  map[Method]Handler{},
		peers:     map[unit.Instance]*peer{},
		done:      make(chan struct{}),
	}
	m.transport.ConnContext = m.admit
	m.ctx, m.stop = context.WithCancel(context.Background())
	for id, address := range cfg.Peers {
		if id != cfg.Self {
			m.peers[id] = newPeer(id, address)
		}
	}
	return m, nil
}

// Handle sets the handler of a method, for calls and for one-way messages. It must
// be called before Run.
func (m *Mesh) Handle(method Method, h Handler) {
	m.handlers[method] = h
}

// Addr returns the address that the mesh is bound to.
func (m *Mesh) Addr() string {
	return m.transport.Conn.LocalAddr().String()
}

// Run serves the mesh until ctx ends or Close is called, and returns once every
// goroutine of the mesh has ended. It must be called only once. After Close it
// returns nil at once, since a shutdown may call Close before the goroutine that
// calls Run is scheduled.
func (m *Mesh) Run(ctx context.Context) error {
	m.mu.Lock()
	if m.started {
		m.mu.Unlock()
		return errors.New("the mesh was started before")
	}
	if m.ctx.Err() != nil {
		m.mu.Unlock()
		return nil
	}
	m.started = true
	m.mu.Unlock()
	defer close(m.done)
	defer m.stop()
	stop := context.AfterFunc(ctx, m.stop)
	defer stop()

	ln, err := m.transport.Listen(m.serverTLS(), m.quicConfig(0))
	if err != nil {
		return errors.CombineErrors(errors.Wrap(err, "listening on the mesh"), m.release())
	}
	m.group.Go(func() error { return m.accept(ln) })
	m.group.Go(m.recheckPeers)
	for _, p := range m.peers {
		m.group.Go(func() error { return m.keepConnected(p) })
		m.group.Go(func() error { return m.sendMessages(p) })
	}
	<-m.ctx.Done()
	m.closeConnections()
	err = errors.CombineErrors(ln.Close(), m.release())
	return errors.CombineErrors(m.group.Wait(), err)
}

// Close stops the mesh and waits until Run has returned.
func (m *Mesh) Close() error {
	m.mu.Lock()
	started := m.started
	m.stop()
	m.mu.Unlock()
	if !started {
		return m.release()
	}
	<-m.done
	return nil
}

// release closes the transport and its socket.
func (m *Mesh) release() error {
	err := m.transport.Close()
	if closing := m.transport.Conn.Close(); !errors.Is(closing, net.ErrClosed) {
		err = errors.CombineErrors(err, closing)
	}
	return err
}

// Reachable returns for each peer whether there is a connection to it at present.
func (m *Mesh) Reachable() map[unit.Instance]bool {
	r := make(map[unit.Instance]bool, len(m.peers))
	for id, p := range m.peers {
		r[id] = p.newestConn() != nil
	}
	return r
}

func (m *Mesh) quicConfig(keepAlive time.Duration) *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  dialTimeout,
		MaxIdleTimeout:        idleTimeout,
		KeepAlivePeriod:       keepAlive,
		MaxIncomingStreams:    maxStreams,
		MaxIncomingUniStreams: maxUniStreams,
	}
}

// serverTLS returns a configuration that requests the current credentials for each
// connection.
func (m *Mesh) serverTLS() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			c := m.cfg.Credentials.ServerTLS()
			c.NextProtos = []string{protocol}
			return c, nil
		},
	}
}

func (m *Mesh) clientTLS(id unit.Instance) *tls.Config {
	c := m.cfg.Credentials.ClientTLS(id)
	c.NextProtos = []string{protocol}
	return c
}

// metrics holds the counters of a mesh.
type metrics struct {
	calls, callFailures, messages, messagesDropped, dialFailures, refusedPeers tally.Counter
	// refusedConnections counts connections beyond the bound, refusedFrames those that were
	// closed since there was no memory left for their frames.
	refusedConnections, refusedFrames tally.Counter
}

func newMetrics(s tally.Scope) metrics {
	s = s.SubScope("mesh")
	return metrics{
		calls:           s.Counter("calls"),
		callFailures:    s.Counter("call_failures"),
		messages:        s.Counter("notes"),
		messagesDropped: s.Counter("notes_dropped"),
		dialFailures:    s.Counter("dial_failures"),
		refusedPeers:    s.Counter("refused_peers"),

		refusedConnections: s.Counter("refused_connections"),
		refusedFrames:      s.Counter("refused_frames"),
	}
}
