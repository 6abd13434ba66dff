// Package dialer keeps HTTP connections open for reuse and closes those that may have gone
// silent.
//
// A connection whose path was lost, as at a partition or a restarted firewall, stays open
// without an error: what is written to it gets no answer. Connections to one address mostly
// share their path, so when a request has timed out on one of them, the idle ones are likely
// to be silent too. Without a Transport, later requests would use them one after the other,
// and each would time out.
//
// TCP keep-alive isn't enough: a proxy or a firewall on the way may answer its probes.
package dialer

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/clock"
)

// Transport is an http.RoundTripper for HTTP/1. When a request exceeds the deadline of its
// context, it closes the idle connections to the same address on which nothing has arrived
// since the request got its connection. Connections in use stay open.
type Transport struct {
	http  *http.Transport
	clock clock.Clock

	mu sync.Mutex
	// conns holds the open connections by the address that was dialled.
	conns map[string]map[*conn]struct{}
}

var _ http.RoundTripper = (*Transport)(nil)

// New returns a Transport that sends requests with t, which must have a DialContext and must
// not be used otherwise.
func New(t *http.Transport) *Transport {
	d := &Transport{http: t, conns: map[string]map[*conn]struct{}{}}
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return d.add(c, address), nil
	}
	return d
}

// CloseIdleConnections closes all idle connections.
func (t *Transport) CloseIdleConnections() { t.http.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := r.Context()
	e := &exchange{transport: t, ctx: ctx}
	trace := &httptrace.ClientTrace{GotConn: e.gotConn, PutIdleConn: e.putIdleConn}
	response, err := t.http.RoundTrip(r.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		e.failed()
		return nil, err
	}
	response.Body = &body{ReadCloser: response.Body, exchange: e}
	return response, nil
}

func (t *Transport) add(c net.Conn, address string) *conn {
	added := &conn{Conn: c, transport: t, address: address}
	added.heardAt.Store(int64(t.clock.Now()))
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns[address] == nil {
		t.conns[address] = map[*conn]struct{}{}
	}
	t.conns[address][added] = struct{}{}
	return added
}

func (t *Transport) remove(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns[c.address], c)
	if len(t.conns[c.address]) == 0 {
		delete(t.conns, c.address)
	}
}

// closeSilent closes the idle connections to an address on which nothing has arrived since
// the given time.
func (t *Transport) closeSilent(address string, since clock.Millis) {
	t.mu.Lock()
	var silent []*conn
	for c := range t.conns[address] {
		if c.user == nil && clock.Millis(c.heardAt.Load()) <= since {
			silent = append(silent, c)
		}
	}
	t.mu.Unlock()
	for _, c := range silent {
		// A request that gets the connection in this moment is sent on another one, since
		// nothing of it was written.
		_ = c.Close()
	}
}

// conn is a connection of a Transport.
type conn struct {
	net.Conn
	transport *Transport
	address   string
	// heardAt is when something last arrived, as a clock.Millis.
	heardAt atomic.Int64
	// user is the exchange that uses the connection; nil while it is idle. It is guarded by
	// transport.mu.
	user *exchange
}

// NetConn returns the connection that the transport's DialContext returned.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.heardAt.Store(int64(c.transport.clock.Now()))
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.transport.remove(c)
	return c.Conn.Close()
}

// exchange is one request and its response.
type exchange struct {
	transport *Transport
	ctx       context.Context

	// conn is the connection in use, and since when it got it. They are guarded by
	// transport.mu.
	conn  *conn
	since clock.Millis
}

func (e *exchange) gotConn(info httptrace.GotConnInfo) {
	c := unwrap(info.Conn)
	if c == nil {
		return
	}
	e.transport.mu.Lock()
	defer e.transport.mu.Unlock()
	c.user, e.conn, e.since = e, c, e.transport.clock.Now()
}

// unwrap returns the connection of a Transport below a TLS connection, or nil.
func unwrap(c net.Conn) *conn {
	for c != nil {
		if own, ok := c.(*conn); ok {
			return own
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
	return nil
}

// putIdleConn marks the connection as idle, unless another request has got it meanwhile:
// net/http calls this after it has offered the connection to others.
func (e *exchange) putIdleConn(err error) {
	e.transport.mu.Lock()
	defer e.transport.mu.Unlock()
	if err == nil && e.conn != nil && e.conn.user == e {
		e.conn.user = nil
	}
}

// failed is called when the request or the read of its response has failed. net/http closes
// the connection in use by itself.
func (e *exchange) failed() {
	if !errors.Is(e.ctx.Err(), context.DeadlineExceeded) {
		return
	}
	e.transport.mu.Lock()
	c, since := e.conn, e.since
	e.transport.mu.Unlock()
	if c != nil {
		e.transport.closeSilent(c.address, since)
	}
}

// body is the body of a response.
type body struct {
	io.ReadCloser
	exchange *exchange
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.exchange.failed()
	}
	return n, err
}
