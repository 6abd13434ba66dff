package upstream

import (
	"net"
	"net/http/httptrace"
	"sync"
)

// countedConn is a connection that counts the bytes written to it.
type countingConn struct {
	net.Conn

	mu      sync.Mutex
	written int64
}

// Write implements net.Conn. The lock is held over the write, so that final
// sees every byte.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

func (c *countingConn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// final closes the connection, which ends a write that blocks and lets no
// later one pass, and returns the bytes written.
func (c *countingConn) closeAndCount() int64 {
	_ = c.Close()
	return c.bytesWritten()
}

// usage holds the connections that one request was given. The HTTP library
// gives a request a second connection if the first was found closed before a
// byte was written.
type requestConns struct {
	mu    sync.Mutex
	conns []requestConn
	uncounted bool
}

// usedConn is a connection and what was written to it before the request.
type requestConn struct {
	conn   *countingConn
	writtenBefore int64
}

func (r *requestConns) gotConn(info httptrace.GotConnInfo) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := info.Conn.(*countingConn)
	if !ok {
		r.uncounted = true
		return
	}
	r.conns = append(r.conns, requestConn{conn: c, writtenBefore: c.bytesWritten()})
}

// wrote reports, after the request has failed, whether any of its bytes left.
// The library doesn't reuse a connection on which a request failed, so closing
// it disturbs no other request.
func (r *requestConns) anyWritten() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	wrote := r.uncounted
	for _, c := range r.conns {
		if c.conn.closeAndCount() != c.writtenBefore {
			wrote = true
		}
	}
	return wrote
}
