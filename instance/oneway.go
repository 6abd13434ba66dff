package instance

import (
	"bufio"
	"sync/atomic"

	"github.com/quic-go/quic-go"

	"github.com/chervilvane/chervilvane/unit"
)

const (
	// maxQueuedMessages bounds the number of queued one-way messages to one
	// peer.
	maxQueuedMessages = 1024
	// maxQueuedBytes bounds the total length of their bodies.
	maxQueuedBytes = 16 << 20
	// maxBatchBytes is the length from which on no further message is added to
	// a write.
	maxBatchBytes = 32 << 10
)

// messageQueue holds the queued one-way messages to a peer.
type messageQueue struct {
	queue chan messageFrame
	bytes *atomic.Int64
}

func newMessageQueue() messageQueue {
	return messageQueue{queue: make(chan messageFrame, maxQueuedMessages), bytes: new(atomic.Int64)}
}

// push adds a message. It returns false if the queue is full.
func (q messageQueue) push(f messageFrame) bool {
	size := int64(len(f.Body))
	if q.bytes.Add(size) > maxQueuedBytes {
		q.bytes.Add(-size)
		return false
	}
	select {
	case q.queue <- f:
		return true
	default:
		q.bytes.Add(-size)
		return false
	}
}

// release subtracts the length of a message that was received from q.queue from the
// queue's byte count, and returns the message.
func (q messageQueue) release(f messageFrame) messageFrame {
	q.bytes.Add(-int64(len(f.Body)))
	return f
}

// Send queues a one-way message to a method of a peer and returns at once. Messages
// arrive in the order of sending. A message is dropped if the peer's queue is
// full, if the peer is unreachable, if the connection is lost, or if the peer is
// the instance itself.
func (m *Mesh) Send(to unit.Instance, method Method, body []byte) {
	m.metrics.messages.Inc(1)
	p, known := m.peers[to]
	if !known || len(body) > MaxBodyBytes || !p.messages.push(messageFrame{Method: method, Body: body}) {
		m.metrics.messagesDropped.Inc(1)
	}
}

// sendMessages writes the messages to a peer to one stream, which it replaces when
// the connection changes.
func (m *Mesh) sendMessages(p *peer) error {
	var conn *quic.Conn
	var stream *quic.SendStream
	for {
		batch, count, ok := m.nextBatch(p)
		if !ok {
			return nil
		}
		if c := p.newestConn(); c != conn || stream == nil {
			conn, stream = c, m.openMessageStream(p, c)
		}
		if stream == nil {
			m.metrics.messagesDropped.Inc(count)
			continue
		}
		if _, err := stream.Write(batch); err != nil {
			m.metrics.messagesDropped.Inc(count)
			stream = nil
		}
	}
}

// nextBatch waits for a message and returns it encoded, followed by those that are
// queued behind it. It returns false if the mesh has stopped.
func (m *Mesh) nextBatch(p *peer) (batch []byte, count int64, ok bool) {
	select {
	case f := <-p.messages.queue:
		batch = appendMessage(nil, p.messages.release(f))
	case <-m.ctx.Done():
		return nil, 0, false
	}
	for count = 1; len(batch) < maxBatchBytes; count++ {
		select {
		case f := <-p.messages.queue:
			batch = appendMessage(batch, p.messages.release(f))
		default:
			return batch, count, true
		}
	}
	return batch, count, true
}

// openMessageStream returns a stream for one-way messages, or nil if the peer is
// unreachable.
func (m *Mesh) openMessageStream(p *peer, c *quic.Conn) *quic.SendStream {
	if c == nil {
		p.requestConnection()
		return nil
	}
	s, err := c.OpenUniStream()
	if err != nil {
		return nil
	}
	return s
}

// acceptMessageStreams serves the streams of one-way messages of a connection until
// the connection ends.
func (m *Mesh) acceptMessageStreams(from unit.Instance, c *quic.Conn) {
	for {
		s, err := c.AcceptUniStream(m.ctx)
		if err != nil {
			return
		}
		m.group.Go(func() error {
			m.receiveMessages(from, s)
			return nil
		})
	}
}

// receiveMessages passes the messages of a stream to their handlers, one at a time.
func (m *Mesh) receiveMessages(from unit.Instance, s *quic.ReceiveStream) {
	r := bufio.NewReader(s)
	for {
		f, err := readMessage(r)
		if err != nil {
			s.CancelRead(codeMalformed)
			return
		}
		if h, known := m.handlers[f.Method]; known {
			_, _ = h(m.ctx, from, f.Body)
		}
	}
}
