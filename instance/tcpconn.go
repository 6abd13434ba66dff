package instance

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/admitter"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// readBufferBytes is the size of a connection's read buffer. Most frames are much
// smaller.
const readBufferBytes = 8 << 10

// tcpConn is one TCP connection of the mesh. Frames that are queued during a write
// are sent together in the next write.
type tcpConn struct {
	mesh *TCPMesh
	conn net.Conn
	// dialledPeer is the peer on the side that dialled. It is empty on the
	// accepting side, which knows only the peer's remote address.
	dialledPeer unit.Instance
	// from is the name of the peer that is passed to handlers.
	from unit.Instance
	// holder is on whose account the connection takes memory.
	holder admitter.Holder

	// done is closed when the connection is.
	done chan struct{}
	// writeReady receives a value when a frame is queued.
	writeReady chan struct{}

	mu sync.Mutex
	// queue holds the encoded frames that are not yet written, queued what they take of the memory
	// of the mesh.
	queue  []byte
	queued admitter.Request
	// pending holds a channel for the reply of each call in progress, by its id.
	pending    map[uint64]chan tcpFrame
	lastCallID uint64
	// err is why the connection was closed; nil while it is open.
	err      error
	lastRead time.Time
}

func (t *TCPMesh) newConn(c net.Conn, dialled unit.Instance) *tcpConn {
	from := dialled
	if from == "" {
		from = unit.Instance(c.RemoteAddr().String())
	}
	h := holder(c)
	return &tcpConn{
		mesh: t, conn: c, dialledPeer: dialled, from: from, holder: h, queued: admitter.Request{Holder: h},
		done: make(chan struct{}), writeReady: make(chan struct{}, 1),
		pending: map[uint64]chan tcpFrame{}, lastRead: time.Now(),
	}
}

// run starts the connection's goroutines. It calls onClose after the connection was
// closed.
func (c *tcpConn) run(onClose func()) {
	c.mesh.group.Go(func() error {
		c.close(c.read())
		onClose()
		return nil
	})
	c.mesh.group.Go(func() error {
		c.close(c.write())
		return nil
	})
	c.mesh.group.Go(func() error {
		c.keepAlive()
		return nil
	})
	if c.mesh.ctx.Err() != nil {
		c.close(c.mesh.ctx.Err())
	}
}

// close closes the connection and makes the calls that wait for a reply return err.
func (c *tcpConn) close(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return
	}
	if err == nil {
		err = errors.New("the connection has ended")
	}
	c.err = err
	close(c.done)
	_ = c.conn.Close()
	c.pending = nil
	c.queue = nil
	c.release(&c.queued)
}

func (c *tcpConn) cause() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// send queues a frame. It returns false if the frame was dropped, since the
// connection is closed or the queue is full.
func (c *tcpConn) send(f tcpFrame) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil || len(c.queue)+len(f.body) > maxConnQueueBytes {
		return false
	}
	if !c.acquire(&c.queued, unit.Bytes(headerBytes+len(f.method)+len(f.body))) {
		return false
	}
	c.queue = appendTCPFrame(c.queue, f)
	select {
	case c.writeReady <- struct{}{}:
	default:
	}
	return true
}

// write writes the queued frames until the connection is closed.
func (c *tcpConn) write() error {
	var spare []byte
	for {
		select {
		case <-c.writeReady:
		case <-c.done:
			return nil
		}
		c.mu.Lock()
		batch := c.queue
		held := c.queued
		if len(batch) > 0 {
			c.queued = admitter.Request{Holder: c.holder}
			// The spare buffer must be used only once. Otherwise the next frames
			// would overwrite those that are being written.
			c.queue, spare = spare[:0], nil
		}
		c.mu.Unlock()
		if len(batch) == 0 {
			continue
		}
		err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if err == nil {
			_, err = c.conn.Write(batch)
		}
		c.release(&held)
		if err != nil {
			return err
		}
		if cap(batch) <= maxBatchBytes {
			spare = batch
		}
	}
}

func (c *tcpConn) read() error {
	r := bufio.NewReaderSize(c.conn, readBufferBytes)
	for {
		// What a frame takes is given back when it was handled.
		held := &admitter.Request{Holder: c.holder}
		f, err := readTCPFrame(r, func(n unit.Bytes) bool { return c.acquire(held, n) })
		f.held = held
		if err == nil && f.kind == kindCall && !c.acquire(held, callCost) {
			err = errNoMemory
		}
		if err != nil {
			c.release(held)
			return err
		}
		c.mu.Lock()
		c.lastRead = time.Now()
		c.mu.Unlock()
		c.handleFrame(f)
	}
}

// handleFrame handles one received frame. It runs the handler of a one-way message
// itself, so that messages are handled in order.
func (c *tcpConn) handleFrame(f tcpFrame) {
	if f.kind == kindCall {
		c.mesh.calls.Go(func() {
			defer c.release(f.held)
			c.serveCall(f)
		})
		return
	}
	defer c.release(f.held)
	switch f.kind {
	case kindReply:
		c.mu.Lock()
		replyCh := c.pending[f.id]
		delete(c.pending, f.id)
		c.mu.Unlock()
		if replyCh != nil {
			replyCh <- f
		}
	case kindMessage:
		if h, known := c.mesh.handlers[f.method]; known {
			if _, err := h(c.mesh.ctx, c.from, f.body); err != nil {
				c.mesh.log.WithError(err).WithField("Method", f.method).Warn("the handler of a one-way message returned an error")
			}
		}
	case kindPing:
		c.send(tcpFrame{kind: kindPong})
	}
}

// serveCall runs the handler of a call and sends the reply.
func (c *tcpConn) serveCall(f tcpFrame) {
	h, known := c.mesh.handlers[f.method]
	if !known {
		c.send(tcpFrame{kind: kindReply, id: f.id, status: statusRefused, body: []byte("no method " + string(f.method))})
		return
	}
	ctx, cancel := context.WithTimeout(c.mesh.ctx, min(f.timeout, clock.Hour).Duration())
	defer cancel()
	body, err := h(ctx, c.from, f.body)
	if err != nil && ctx.Err() != nil {
		// The caller's deadline has passed, or the mesh is stopping. It isn't known
		// what the handler did, so a reply that reports a failure would be wrong.
		return
	}
	reply := tcpFrame{kind: kindReply, id: f.id, body: body}
	if err != nil {
		reply.status, reply.body = statusFailed, []byte(err.Error())
	}
	c.send(reply)
}

// call sends a call and waits for its reply.
func (c *tcpConn) call(ctx context.Context, method Method, body []byte) (tcpFrame, error) {
	reply := make(chan tcpFrame, 1)
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return tcpFrame{}, c.cause()
	}
	c.lastCallID++
	id := c.lastCallID
	c.pending[id] = reply
	c.mu.Unlock()
	c.send(tcpFrame{kind: kindCall, id: id, timeout: frameTimeout(ctx), method: method, body: body})
	select {
	case f := <-reply:
		return f, nil
	case <-ctx.Done():
		return c.stopWaiting(id, reply, ctx.Err())
	case <-c.done:
		return c.stopWaiting(id, reply, c.cause())
	}
}

// stopWaiting ends the wait for a reply and returns cause, unless the reply has
// arrived in the meantime. On a busy instance the reply can arrive before the
// waiting goroutine is scheduled; without this check, the call would fail and be
// repeated although its reply is available.
func (c *tcpConn) stopWaiting(id uint64, reply <-chan tcpFrame, cause error) (tcpFrame, error) {
	c.mu.Lock()
	delete(c.pending, id)
	c.mu.Unlock()
	select {
	case f := <-reply:
		return f, nil
	default:
		return tcpFrame{}, cause
	}
}

// keepAlive sends pings from the side that dialled, and closes the connection if
// nothing arrives for tcpIdleTimeout.
func (c *tcpConn) keepAlive() {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-c.done:
			return
		case <-ticker.C:
		}
		now := time.Now()
		// After a long pause of this process, frames of the peer may be unread.
		// The pause must not count as silence of the peer.
		paused := now.Sub(last) > 2*pingInterval
		last = now
		c.mu.Lock()
		if paused {
			c.lastRead = now
		}
		idle := now.Sub(c.lastRead)
		c.mu.Unlock()
		if idle > tcpIdleTimeout {
			c.close(errors.Newf("no sign of life for %s", idle.Round(time.Millisecond)))
			return
		}
		if c.dialledPeer != "" && idle >= pingInterval {
			c.send(tcpFrame{kind: kindPing})
		}
	}
}
