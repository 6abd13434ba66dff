package instance

import (
	"bufio"
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"github.com/chervilvane/chervilvane/unit"
)

const (
	// maxNotes bounds the notes that wait for one peer.
	maxNotes = 1024
	// maxNoteBytes bounds their bodies, in bytes.
	maxNoteBytes = 16 << 20
	// batchBytes is how much is gathered for one write, in bytes.
	batchBytes = 32 << 10
)

// noteQueue holds the notes that wait for a peer.
type noteQueue struct {
	queue chan noteFrame
	bytes *atomic.Int64
}

func newNoteQueue() noteQueue {
	return noteQueue{queue: make(chan noteFrame, maxNotes), bytes: new(atomic.Int64)}
}

// push reports false if the queue is full.
func (q noteQueue) push(n noteFrame) bool {
	size := int64(len(n.Body))
	if q.bytes.Add(size) > maxNoteBytes {
		q.bytes.Add(-size)
		return false
	}
	select {
	case q.queue <- n:
		return true
	default:
		q.bytes.Add(-size)
		return false
	}
}

func (q noteQueue) taken(n noteFrame) noteFrame {
	q.bytes.Add(-int64(len(n.Body)))
	return n
}

// Send gives a one-way message to a method of a peer and returns at once. What
// arrives does so in the order of sending; a message is dropped when the queue
// of the peer is full, when the peer can't be reached, and when the connection
// is lost. A message to the instance itself is dropped too.
func (m *Mesh) Send(to unit.Instance, method Method, body []byte) {
	m.metrics.notes.Inc(1)
	p, known := m.peers[to]
	if !known || len(body) > MaxBody || !p.notes.push(noteFrame{Method: method, Body: body}) {
		m.metrics.notesDropped.Inc(1)
	}
}

// sendNotes writes the notes of a peer to one stream of the connection.
func (m *Mesh) sendNotes(p *peer) error {
	var conn *quic.Conn
	var stream *quic.SendStream
	for {
		batch, count, ok := m.gather(p)
		if !ok {
			return nil
		}
		if c := p.live(); c != conn || stream == nil {
			conn, stream = c, m.openNotes(p, c)
		}
		if stream == nil {
			m.metrics.notesDropped.Inc(count)
			continue
		}
		if _, err := stream.Write(batch); err != nil {
			m.metrics.notesDropped.Inc(count)
			stream = nil
		}
	}
}

// gather waits for a note and returns it with those that wait behind it.
func (m *Mesh) gather(p *peer) (batch []byte, count int64, ok bool) {
	select {
	case n := <-p.notes.queue:
		batch = appendNote(nil, p.notes.taken(n))
	case <-m.ctx.Done():
		return nil, 0, false
	}
	for count = 1; len(batch) < batchBytes; count++ {
		select {
		case n := <-p.notes.queue:
			batch = appendNote(batch, p.notes.taken(n))
		default:
			return batch, count, true
		}
	}
	return batch, count, true
}

// openNotes returns a stream for notes, or nil while the peer can't be
// reached.
func (m *Mesh) openNotes(p *peer, c *quic.Conn) *quic.SendStream {
	if c == nil {
		p.want()
		return nil
	}
	s, err := c.OpenUniStream()
	if err != nil {
		return nil
	}
	return s
}

// acceptNotes returns when the connection has ended.
func (m *Mesh) acceptNotes(from unit.Instance, c *quic.Conn) {
	for {
		s, err := c.AcceptUniStream(m.ctx)
		if err != nil {
			return
		}
		m.group.Go(func() error {
			m.receiveNotes(from, s)
			return nil
		})
	}
}

// receiveNotes hands the notes of a stream to their handlers, one at a time.
func (m *Mesh) receiveNotes(from unit.Instance, s *quic.ReceiveStream) {
	r := bufio.NewReader(s)
	for {
		n, err := readNote(r)
		if err != nil {
			s.CancelRead(codeMalformed)
			return
		}
		if h, known := m.handlers[n.Method]; known {
			_, _ = h(m.ctx, from, n.Body)
		}
	}
}
