package listener

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/admitter"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// holderHeaders is the holder of headers that are still arriving: the key isn't known yet.
const holderHeaders admitter.Holder = "headers"

// chunkFill bounds what is read at once of a chunked body into the buffer of net/http. What
// follows the body stays there uncounted, as the begin of the next request.
const chunkFill = 256

// httpBuffer is the size of the read buffer of net/http. Longer reads go past it.
const httpBuffer = 4096

// writeDeadlineStep is how far a write deadline may be off before it is set again.
const writeDeadlineStep = time.Second

// errHeaderRefused closes a connection without a response: net/http answers no failed reads.
var errHeaderRefused = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("too many headers in memory")}

// conn is a connection of an HTTP client.
//
// It follows where a header and a body of a declared length end, and never passes on more at
// once. So the memory of a header is known while it arrives, also if the client sends requests
// ahead; what was read too much is kept in pending.
type conn struct {
	net.Conn
	admission   *Admission
	connections *admitter.Connections
	opened      *admitter.Connection

	mu sync.Mutex
	// headers is what the header takes that is arriving or being handled.
	headers admitter.Request
	pending []byte
	// buffer holds pending; nil while nothing is pending.
	buffer *[]byte
	// writeDeadline is the last write deadline.
	writeDeadline time.Time
	// afterHeader is set from the end of a header to the end of its request. bodyLeft is how
	// much of the body hasn't been read; negative if that isn't known.
	afterHeader bool
	bodyLeft    int64
	// lines and length count the header that is arriving; lineLength its last line.
	lines, length, lineLength int
	// request is what the request in progress takes.
	request admitter.Request
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	limit := c.limit(len(p))
	n := c.takePending(p[:limit])
	var err error
	if n == 0 {
		n, err = c.Conn.Read(p[:limit])
	}
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	if c.afterHeader {
		c.bodyLeft -= min(int64(n), max(c.bodyLeft, 0))
		c.mu.Unlock()
		return n, err
	}
	begins := c.length == 0
	n = c.readHeader(p[:n])
	charged := admitter.HeaderBytes(c.lines, c.length)
	c.mu.Unlock()
	if begins {
		c.enter(admitter.Receiving)
	}
	if !c.chargeHeader(charged) {
		return 0, errHeaderRefused
	}
	return n, err
}

// limit returns how much of n bytes may be read at once.
func (c *conn) limit(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.afterHeader:
		return n
	case c.bodyLeft > 0:
		return int(min(int64(n), c.bodyLeft))
	case n <= httpBuffer:
		return min(n, chunkFill)
	}
	return n
}

func (c *conn) takePending(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := copy(p, c.pending)
	c.pending = c.pending[n:]
	return n
}

// pendingBuffers holds buffers of httpBuffer bytes: most requests have some of their body behind
// the header, and idle connections need none.
var pendingBuffers = sync.Pool{New: func() any {
	b := make([]byte, httpBuffer)
	return &b
}}

// keep puts data before what is pending. The caller must hold c.mu.
func (c *conn) keep(data []byte) {
	if len(data)+len(c.pending) > httpBuffer {
		// The server has read more than its buffer holds; this doesn't happen with net/http.
		c.pending = append(append([]byte(nil), data...), c.pending...)
		return
	}
	if c.buffer == nil {
		c.buffer, _ = pendingBuffers.Get().(*[]byte)
	}
	copy((*c.buffer)[len(data):], c.pending)
	copy(*c.buffer, data)
	c.pending = (*c.buffer)[:len(data)+len(c.pending)]
}

// dropBuffer gives the buffer back if nothing is pending. The caller must hold c.mu.
func (c *conn) dropBuffer() {
	if c.buffer != nil && len(c.pending) == 0 {
		pendingBuffers.Put(c.buffer)
		c.buffer, c.pending = nil, nil
	}
}

// readHeader counts a part of a header. It returns how much of it to pass on, and keeps what is
// behind the end of the header. The caller must hold c.mu.
func (c *conn) readHeader(p []byte) int {
	for i, b := range p {
		if b != '\n' {
			if b != '\r' {
				c.lineLength++
			}
			continue
		}
		c.lines++
		if c.lineLength == 0 && c.lines > 1 {
			c.afterHeader, c.bodyLeft = true, -1
			c.length += i + 1
			if i+1 < len(p) {
				c.keep(p[i+1:])
			}
			return i + 1
		}
		c.lineLength = 0
	}
	c.length += len(p)
	return len(p)
}

// chargeHeader takes the memory of the header that is arriving, of which this is the sum so far.
func (c *conn) chargeHeader(sum unit.Bytes) bool {
	if sum == 0 {
		return true
	}
	a := c.admission
	a.mu.Lock()
	before := c.headers.Total()
	ok := sum <= before || a.budget.Acquire(&c.headers, sum-before)
	a.mu.Unlock()
	if !ok {
		a.note(a.metrics.refusedHeaders, "headers", c.RemoteAddr().String())
	}
	return ok
}

// beginRequest is called when a header was read in full. length is that of the body; negative if
// it isn't known.
// It reports whether all of the body has arrived.
func (c *conn) beginRequest(length int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// net/http reads a body of a declared length from what is pending first.
	c.afterHeader, c.bodyLeft = true, length
	return length >= 0 && length <= int64(len(c.pending))
}

// endRequest is called when the connection waits for the next request.
func (c *conn) endRequest() {
	c.mu.Lock()
	c.afterHeader, c.lines, c.length, c.lineLength = false, 0, 0, 0
	c.dropBuffer()
	c.mu.Unlock()
	a := c.admission
	now := a.cfg.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.budget.Release(&c.headers)
	c.connections.Enter(c.opened, admitter.Idle, now)
}

// enter sets the phase of the connection.
func (c *conn) enter(p admitter.Phase) {
	a := c.admission
	now := a.cfg.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	c.connections.Enter(c.opened, p, now)
}

// SetReadDeadline implements net.Conn. During a shutdown, a request must have arrived by then.
func (c *conn) SetReadDeadline(t time.Time) error {
	a := c.admission
	a.mu.Lock()
	if !a.stopAt.IsZero() && c.opened.Phase() == admitter.Receiving && (t.IsZero() || t.After(a.stopAt)) {
		t = a.stopAt
	}
	a.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn. It bounds the time of a write to a client that doesn't read.
func (c *conn) Write(p []byte) (int, error) {
	a := c.admission
	timeout := writeTimeout + time.Duration(len(p))*time.Second/time.Duration(a.cfg.Limits.BodyRate)
	a.mu.Lock()
	stopping := !a.stopAt.IsZero()
	a.mu.Unlock()
	if stopping {
		timeout = stopTimeout
	}
	// Only one goroutine writes. The deadline of the write before may do.
	if d := time.Now().Add(timeout); stopping || d.Sub(c.writeDeadline).Abs() > writeDeadlineStep {
		if err := c.Conn.SetWriteDeadline(d); err != nil {
			return 0, err
		}
		c.writeDeadline = d
	}
	return c.Conn.Write(p)
}

// CloseWrite lets net/http send the end of the last response before it closes the connection, so
// that a client that is still sending receives the response.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	a := c.admission
	a.mu.Lock()
	c.connections.Close(c.opened)
	delete(a.open, c.opened)
	a.budget.Release(&c.headers)
	a.metrics.connections.Update(float64(a.connections.Count()))
	a.mu.Unlock()
	return c.Conn.Close()
}

// now returns the time of the admission's clock.
func (c *conn) now() clock.Millis { return c.admission.cfg.Clock.Now() }
