package upstream

import (
	"net"
	"net/http/httptrace"
	"sync"
)

// countingConn is a connection that counts the bytes written to it.
type countingConn struct {
	net.Conn

	mu      sync.Mutex
	written int64
}

// Write implements net.Conn. It holds the lock during the write, so that
// closeAndCount counts the bytes of a write in progress.
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

// closeAndCount closes the connection and returns the number of bytes written to
// it. Closing unblocks a write in progress and makes later writes fail, so the
// number is final.
func (c *countingConn) closeAndCount() int64 {
	_ = c.Close()
	return c.bytesWritten()
}

// requestConns holds the connections on which net/http tried to send one
// request. It uses a second connection if the peer closed the first before a
// byte was written.
type requestConns struct {
	mu    sync.Mutex
	conns []requestConn
	// uncounted is set if the request got a connection that isn't a
	// countingConn. Its bytes then count as written.
	uncounted bool
}

// requestConn is a connection and the number of bytes that were written to it
// before the request.
type requestConn struct {
	conn          *countingConn
	writtenBefore int64
}

func (r *requestConns) gotConn(info httptrace.GotConnInfo) {
	r.mu.Lock()
	defer r.mu.Unlock()
	conn := info.Conn
	if w, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = w.NetConn()
	}
	c, ok := conn.(*countingConn)
	if !ok {
		r.uncounted = true
		return
	}
	r.conns = append(r.conns, requestConn{conn: c, writtenBefore: c.bytesWritten()})
}

// anyWritten reports whether any bytes of a failed request were written to a
// connection. It closes the connections; this affects no other request, since
// net/http doesn't reuse a connection on which a request failed.
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
