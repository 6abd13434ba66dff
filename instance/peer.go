package instance

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"

	"github.com/chervilvane/chervilvane/unit"
)

const (
	// grace is how long the instance with the greater name waits for the other
	// to dial, so that a pair seldom has two connections.
	grace = 150 * time.Millisecond
	// Bounds of the backoff between attempts to connect.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// steady is how long a connection must have lasted for the backoff to
	// start anew. A peer that refuses this instance's certificate ends the
	// connection right after the handshake, again and again.
	steady = 2 * time.Second
)

// peer is another instance and the connections to it.
//
// Calls go over the newest connection, whichever side dialled it: when the
// peer was restarted, the older one is dead but not yet known to be.
type peer struct {
	id      unit.Instance
	address string
	// wanted gets a token when the first call or note asks for a connection.
	wanted chan struct{}
	notes  noteQueue

	mu    sync.Mutex
	conns []*quic.Conn
	// failure is why the last attempt to connect failed; nil while there is a
	// connection or none was tried since the last was lost.
	failure error
	// changed is closed and replaced when conns or failure change.
	changed chan struct{}
}

func newPeer(id unit.Instance, address string) *peer {
	return &peer{
		id:      id,
		address: address,
		wanted:  make(chan struct{}, 1),
		notes:   newNoteQueue(),
		changed: make(chan struct{}),
	}
}

func (p *peer) signal() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *peer) add(c *quic.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, c)
	p.failure = nil
	p.signal()
}

func (p *peer) remove(c *quic.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, o := range p.conns {
		if o == c {
			p.conns = append(p.conns[:i:i], p.conns[i+1:]...)
			break
		}
	}
	p.signal()
}

func (p *peer) fail(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns) == 0 {
		p.failure = err
	}
	p.signal()
}

// view is what look saw.
type view struct {
	// conn is the newest connection, or nil.
	conn    *quic.Conn
	failure error
	// changed is closed when the others change.
	changed <-chan struct{}
}

func (p *peer) look() view {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := view{failure: p.failure, changed: p.changed}
	if n := len(p.conns); n > 0 {
		v.conn = p.conns[n-1]
	}
	return v
}

func (p *peer) live() *quic.Conn {
	return p.look().conn
}

// all returns every connection, of which there are at most a few.
func (p *peer) all() []*quic.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.conns)
}

func (p *peer) want() {
	select {
	case p.wanted <- struct{}{}:
	default:
	}
}

// connection returns a connection, waiting while the first attempt is under
// way. It fails at once while the peer is known to be unreachable, so that the
// caller can turn to another.
func (p *peer) connection(ctx context.Context) (*quic.Conn, error) {
	for {
		v := p.look()
		if v.conn != nil {
			return v.conn, nil
		}
		if v.failure != nil {
			return nil, v.failure
		}
		p.want()
		select {
		case <-v.changed:
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "waiting for a connection")
		}
	}
}

// keepConnected dials the peer once it is wanted and again whenever the
// connection is lost.
func (m *Mesh) keepConnected(p *peer) error {
	select {
	case <-p.wanted:
	case <-m.ctx.Done():
		return nil
	}
	backoff := minBackoff
	for m.ctx.Err() == nil {
		if m.waitWhileConnected(p) >= steady {
			backoff = minBackoff
		}
		if m.cfg.Self > p.id && m.waitForConnection(p, grace) {
			continue
		}
		if m.ctx.Err() != nil {
			break
		}
		if err := m.dial(p); err != nil {
			m.metrics.dialFailures.Inc(1)
			p.fail(err)
		} else if m.waitWhileConnected(p) >= steady {
			continue
		}
		// Full jitter keeps instances from dialling a restarted peer all at
		// once.
		m.waitForConnection(p, rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// waitWhileConnected returns once there is no connection, and how long there
// was one.
func (m *Mesh) waitWhileConnected(p *peer) time.Duration {
	start := time.Now()
	for {
		v := p.look()
		if v.conn == nil {
			return time.Since(start)
		}
		select {
		case <-v.changed:
		case <-m.ctx.Done():
			return time.Since(start)
		}
	}
}

// waitForConnection waits until the peer has dialled, or for a time.
func (m *Mesh) waitForConnection(p *peer, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		v := p.look()
		if v.conn != nil {
			return true
		}
		select {
		case <-v.changed:
		case <-timer.C:
			return false
		case <-m.ctx.Done():
			return false
		}
	}
}

func (m *Mesh) dial(p *peer) error {
	addr, err := net.ResolveUDPAddr("udp", p.address)
	if err != nil {
		return errors.Wrapf(err, "mesh address of %s", p.id)
	}
	ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
	defer cancel()
	c, err := m.transport.Dial(ctx, addr, m.clientTLS(p.id), m.quicConfig(keepAlive))
	if err != nil {
		return errors.Wrapf(err, "connecting to %s", p.id)
	}
	if err := m.verify(p.id, c); err != nil {
		m.refuse(c, err)
		return err
	}
	m.serve(p, c)
	return nil
}
