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
	// dialGrace is how long the instance with the greater name waits for the
	// other to dial, so that a pair seldom has two connections.
	dialGrace = 150 * time.Millisecond
	// minBackoff and maxBackoff bound the delay between attempts to connect.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// stableAfter is how long a connection must have lasted for the backoff to be
	// reset. A peer that refuses this instance's certificate closes each
	// connection right after the handshake.
	stableAfter = 2 * time.Second
)

// peer is another instance and the connections to it.
//
// Calls use the newest connection, whichever side dialled it. After a restart of
// the peer, the older connection is broken but this may not yet be detected.
type peer struct {
	id      unit.Instance
	address string
	// wanted receives a value when a call or a one-way message needs a
	// connection.
	wanted   chan struct{}
	messages messageQueue

	mu    sync.Mutex
	conns []*quic.Conn
	// failure is the error of the last attempt to connect. It is nil if there is a
	// connection, or if there was no attempt since the last one was lost.
	failure error
	// changed is closed and replaced when conns or failure changes.
	changed chan struct{}
}

func newPeer(id unit.Instance, address string) *peer {
	return &peer{
		id:       id,
		address:  address,
		wanted:   make(chan struct{}, 1),
		messages: newMessageQueue(),
		changed:  make(chan struct{}),
	}
}

// signalChange closes and replaces p.changed. The caller must hold p.mu.
func (p *peer) signalChange() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *peer) add(c *quic.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, c)
	p.failure = nil
	p.signalChange()
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
	p.signalChange()
}

func (p *peer) dialFailed(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns) == 0 {
		p.failure = err
	}
	p.signalChange()
}

// peerState is a copy of the state of a peer.
type peerState struct {
	// conn is the newest connection, or nil.
	conn    *quic.Conn
	failure error
	// changed is closed when conn or failure changes.
	changed <-chan struct{}
}

func (p *peer) state() peerState {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := peerState{failure: p.failure, changed: p.changed}
	if n := len(p.conns); n > 0 {
		s.conn = p.conns[n-1]
	}
	return s
}

func (p *peer) newestConn() *quic.Conn {
	return p.state().conn
}

// connections returns all connections, usually one and at most a few.
func (p *peer) connections() []*quic.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.conns)
}

// requestConnection makes keepConnected dial the peer if it hasn't started to. It
// doesn't block.
func (p *peer) requestConnection() {
	select {
	case p.wanted <- struct{}{}:
	default:
	}
}

// connection returns a connection and waits for it during the first attempt to
// connect. After a failed attempt it returns the error at once, so that the caller
// can try another instance.
func (p *peer) connection(ctx context.Context) (*quic.Conn, error) {
	for {
		s := p.state()
		if s.conn != nil {
			return s.conn, nil
		}
		if s.failure != nil {
			return nil, s.failure
		}
		p.requestConnection()
		select {
		case <-s.changed:
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "waiting for a connection")
		}
	}
}

// keepConnected dials the peer after the first request for a connection, and again
// whenever the connection is lost, until the mesh stops.
func (m *Mesh) keepConnected(p *peer) error {
	select {
	case <-p.wanted:
	case <-m.ctx.Done():
		return nil
	}
	backoff := minBackoff
	for m.ctx.Err() == nil {
		if m.waitWhileConnected(p) >= stableAfter {
			backoff = minBackoff
		}
		if m.cfg.Self > p.id && m.waitForConnection(p, dialGrace) {
			continue
		}
		if m.ctx.Err() != nil {
			break
		}
		if err := m.dial(p); err != nil {
			m.metrics.dialFailures.Inc(1)
			p.dialFailed(err)
		} else if m.waitWhileConnected(p) >= stableAfter {
			continue
		}
		// With full jitter the instances don't all dial a restarted peer at the
		// same time.
		m.waitForConnection(p, rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// waitWhileConnected waits until there is no connection and returns how long it
// waited.
func (m *Mesh) waitWhileConnected(p *peer) time.Duration {
	start := time.Now()
	for {
		s := p.state()
		if s.conn == nil {
			return time.Since(start)
		}
		select {
		case <-s.changed:
		case <-m.ctx.Done():
			return time.Since(start)
		}
	}
}

// waitForConnection waits until there is a connection, at most for d, and reports
// whether there is one.
func (m *Mesh) waitForConnection(p *peer, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		s := p.state()
		if s.conn != nil {
			return true
		}
		select {
		case <-s.changed:
		case <-timer.C:
			return false
		case <-m.ctx.Done():
			return false
		}
	}
}

// dial connects to the peer once and starts to serve the connection.
func (m *Mesh) dial(p *peer) error {
	addr, err := net.ResolveUDPAddr("udp", p.address)
	if err != nil {
		return errors.Wrapf(err, "mesh address of %s", p.id)
	}
	ctx, cancel := context.WithTimeout(m.ctx, dialTimeout)
	defer cancel()
	c, err := m.transport.Dial(ctx, addr, m.clientTLS(p.id), m.quicConfig(keepAliveInterval))
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
