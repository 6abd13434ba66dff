package instance

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/chervilvane/chervilvane/unit"
)

// readBuffer is the size of a connection's read buffer, in bytes; most frames
// are far smaller.
const readBuffer = 8 << 10

// wire is one TCP connection of the mesh. Frames that are sent while a write
// is under way go out together with the next one.
type wire struct {
	mesh *TCPMesh
	conn net.Conn
	// dialled is the peer, on the side that dialled; empty on the other, which
	// knows the peer by its remote address only.
	dialled unit.Instance
	from    unit.Instance

	done chan struct{}
	wake chan struct{}

	mu      sync.Mutex
	queue   []byte
	pending map[uint64]chan wireFrame
	next    uint64
	err     error
	heard   time.Time
}

func (t *TCPMesh) newWire(c net.Conn, dialled unit.Instance) *wire {
	from := dialled
	if from == "" {
		from = unit.Instance(c.RemoteAddr().String())
	}
	return &wire{
		mesh: t, conn: c, dialled: dialled, from: from,
		done: make(chan struct{}), wake: make(chan struct{}, 1),
		pending: map[uint64]chan wireFrame{}, heard: time.Now(),
	}
}

// run starts the connection's goroutines; ended is called after it was closed.
func (w *wire) run(ended func()) {
	w.mesh.group.Go(func() error {
		w.close(w.read())
		ended()
		return nil
	})
	w.mesh.group.Go(func() error {
		w.close(w.write())
		return nil
	})
	w.mesh.group.Go(func() error {
		w.keepAlive()
		return nil
	})
	if w.mesh.ctx.Err() != nil {
		w.close(w.mesh.ctx.Err())
	}
}

// close ends the connection and fails the calls that wait for a reply.
func (w *wire) close(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return
	}
	if err == nil {
		err = errors.New("the connection has ended")
	}
	w.err = err
	close(w.done)
	_ = w.conn.Close()
	w.pending = nil
}

func (w *wire) cause() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// send queues a frame; false if it was dropped.
func (w *wire) send(f wireFrame) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil || len(w.queue)+len(f.body) > maxQueued {
		return false
	}
	w.queue = appendWire(w.queue, f)
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return true
}

// write writes what was queued until the connection ends.
func (w *wire) write() error {
	var spare []byte
	for {
		select {
		case <-w.wake:
		case <-w.done:
			return nil
		}
		w.mu.Lock()
		batch := w.queue
		if len(batch) > 0 {
			// The spare buffer is given away only once, or the next frames would
			// overwrite those that are being written.
			w.queue, spare = spare[:0], nil
		}
		w.mu.Unlock()
		if len(batch) == 0 {
			continue
		}
		if err := w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := w.conn.Write(batch); err != nil {
			return err
		}
		if cap(batch) <= batchBytes {
			spare = batch
		}
	}
}

func (w *wire) read() error {
	r := bufio.NewReaderSize(w.conn, readBuffer)
	for {
		f, err := readWire(r)
		if err != nil {
			return err
		}
		w.mu.Lock()
		w.heard = time.Now()
		w.mu.Unlock()
		w.take(f)
	}
}

func (w *wire) take(f wireFrame) {
	switch f.kind {
	case wireCall:
		w.mesh.calls.Go(func() { w.answer(f) })
	case wireReply:
		w.mu.Lock()
		waiting := w.pending[f.id]
		delete(w.pending, f.id)
		w.mu.Unlock()
		if waiting != nil {
			waiting <- f
		}
	case wireNote:
		if h, known := w.mesh.handlers[f.method]; known {
			if _, err := h(w.mesh.ctx, w.from, f.body); err != nil {
				w.mesh.log.WithError(err).WithField("Method", f.method).Warn("a one-way message failed")
			}
		}
	case wirePing:
		w.send(wireFrame{kind: wirePong})
	}
}

func (w *wire) answer(f wireFrame) {
	h, known := w.mesh.handlers[f.method]
	if !known {
		w.send(wireFrame{kind: wireReply, id: f.id, status: statusRefused, body: []byte("no method " + string(f.method))})
		return
	}
	ctx, cancel := context.WithTimeout(w.mesh.ctx, f.timeout.Duration())
	defer cancel()
	body, err := h(ctx, w.from, f.body)
	if err != nil && ctx.Err() != nil {
		// The caller's time is over too. A reply would tell it of a failure, and what
		// the handler did isn't known.
		return
	}
	reply := wireFrame{kind: wireReply, id: f.id, body: body}
	if err != nil {
		reply.status, reply.body = statusFailed, []byte(err.Error())
	}
	w.send(reply)
}

// exchange sends a call and waits for its reply.
func (w *wire) exchange(ctx context.Context, method Method, body []byte) (wireFrame, error) {
	reply := make(chan wireFrame, 1)
	w.mu.Lock()
	if w.err != nil {
		w.mu.Unlock()
		return wireFrame{}, w.cause()
	}
	w.next++
	id := w.next
	w.pending[id] = reply
	w.mu.Unlock()
	w.send(wireFrame{kind: wireCall, id: id, timeout: timeoutOf(ctx), method: method, body: body})
	select {
	case f := <-reply:
		return f, nil
	case <-ctx.Done():
		return w.abandon(id, reply, ctx.Err())
	case <-w.done:
		return w.abandon(id, reply, w.cause())
	}
}

// abandon ends the wait for a reply, unless it has come while the caller waited
// for the processor: on a busy instance a call would otherwise fail whose reply is
// there, and be repeated.
func (w *wire) abandon(id uint64, reply <-chan wireFrame, why error) (wireFrame, error) {
	w.mu.Lock()
	delete(w.pending, id)
	w.mu.Unlock()
	select {
	case f := <-reply:
		return f, nil
	default:
		return wireFrame{}, why
	}
}

// keepAlive sends signs of life from the side that dialled and gives up a
// connection on which nothing arrives.
func (w *wire) keepAlive() {
	ticker := time.NewTicker(pingEvery)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-w.done:
			return
		case <-ticker.C:
		}
		now := time.Now()
		// A long pause of this process says nothing about the peer.
		paused := now.Sub(last) > 2*pingEvery
		last = now
		w.mu.Lock()
		if paused {
			w.heard = now
		}
		idle := now.Sub(w.heard)
		w.mu.Unlock()
		if idle > tcpSilence {
			w.close(errors.Newf("no sign of life for %s", idle.Round(time.Millisecond)))
			return
		}
		if w.dialled != "" && idle >= pingEvery {
			w.send(wireFrame{kind: wirePing})
		}
	}
}
