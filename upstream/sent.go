package upstream

import (
	"net"
	"net/http/httptrace"
	"sync"
)

// countedConn is a connection that counts the bytes written to it.
type countedConn struct {
	net.Conn

	mu      sync.Mutex
	written int64
}

// Write implements net.Conn. The lock is held over the write, so that final
// sees every byte.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

func (c *countedConn) soFar() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// final closes the connection, which ends a write that blocks and lets no
// later one pass, and returns the bytes written.
func (c *countedConn) final() int64 {
	_ = c.Close()
	return c.soFar()
}

// usage holds the connections that one request was given. The HTTP library
// gives a request a second connection if the first was found closed before a
// byte was written.
type usage struct {
	mu    sync.Mutex
	conns []usedConn
	other bool
}

// usedConn is a connection and what was written to it before the request.
type usedConn struct {
	conn   *countedConn
	before int64
}

func (u *usage) got(info httptrace.GotConnInfo) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c, ok := info.Conn.(*countedConn)
	if !ok {
		u.other = true
		return
	}
	u.conns = append(u.conns, usedConn{conn: c, before: c.soFar()})
}

// wrote reports, after the request has failed, whether any of its bytes left.
// The library doesn't reuse a connection on which a request failed, so closing
// it disturbs no other request.
func (u *usage) wrote() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	wrote := u.other
	for _, c := range u.conns {
		if c.conn.final() != c.before {
			wrote = true
		}
	}
	return wrote
}
