package instance

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"go.opentelemetry.io/otel/trace"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/tracer"
	"github.com/chervilvane/chervilvane/unit"
)

// DefaultTimeout bounds a call whose context has no deadline.
const DefaultTimeout = 10 * time.Second

// Call implements Caller. A call to the instance itself runs the handler directly.
func (m *Mesh) Call(ctx context.Context, to unit.Instance, method Method, body []byte) ([]byte, error) {
	if _, has := ctx.Deadline(); !has {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultTimeout)
		defer cancel()
	}
	ctx, span := tracer.StartChild(ctx, m.cfg.Tracer, "mesh call "+string(method), trace.WithSpanKind(trace.SpanKindClient))
	answer, err := m.call(ctx, to, method, body)
	tracer.End(span, err)
	m.metrics.calls.Inc(1)
	if err != nil {
		m.metrics.callFailures.Inc(1)
	}
	return answer, err
}

func (m *Mesh) call(ctx context.Context, to unit.Instance, method Method, body []byte) ([]byte, error) {
	if len(body) > MaxBodyBytes {
		return nil, &CallError{Peer: to, Cause: errors.Newf("a body of %d bytes is too long", len(body))}
	}
	if to == m.cfg.Self {
		return m.callSelf(ctx, method, body)
	}
	p, known := m.peers[to]
	if !known {
		return nil, &CallError{Peer: to, Cause: errors.New("no such peer in the settings")}
	}
	conn, err := p.connection(ctx)
	if err != nil {
		return nil, &CallError{Peer: to, Cause: err}
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, &CallError{Peer: to, Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { abandon(stream) })
	defer stop()
	reply, maybeDelivered, err := exchange(ctx, stream, callFrame{
		Method:  method,
		Timeout: timeUntilDeadline(ctx),
		Trace:   tracer.Inject(ctx),
		Body:    body,
	})
	if err != nil {
		abandon(stream)
		if ctx.Err() != nil {
			err = errors.CombineErrors(ctx.Err(), err)
		}
		return nil, &CallError{Peer: to, MaybeDelivered: maybeDelivered, Cause: err}
	}
	return decodeReply(to, reply)
}

// exchange sends a call and reads its reply. The peer handles a frame only after
// it has received the end of the stream. So the call can't have been delivered
// before the end was written to the connection.
func exchange(ctx context.Context, s *quic.Stream, f callFrame) (r replyFrame, maybeDelivered bool, err error) {
	if _, err := s.Write(encoder.Marshal(f)); err != nil {
		return r, false, err
	}
	if err := ctx.Err(); err != nil {
		return r, false, err
	}
	// Close fails only if the stream was abandoned before; its end is then never
	// sent.
	if err := s.Close(); err != nil {
		return r, false, err
	}
	err = readFrame(s, &r)
	return r, true, err
}

// abandon releases the stream and notifies the peer that the caller no longer
// waits for a reply.
func abandon(s *quic.Stream) {
	s.CancelWrite(codeAbandoned)
	s.CancelRead(codeAbandoned)
}

// decodeReply returns the result in a reply, or the error that it holds.
func decodeReply(to unit.Instance, r replyFrame) ([]byte, error) {
	switch r.Status {
	case statusOK:
		return r.Body, nil
	case statusFailed:
		return nil, &RemoteError{Peer: to, Message: string(r.Body)}
	case statusRefused:
		return nil, &CallError{Peer: to, Cause: errors.Newf("refused: %s", r.Body)}
	default:
		return nil, &CallError{Peer: to, MaybeDelivered: true, Cause: errors.Newf("a reply of unknown status %d", r.Status)}
	}
}

func (m *Mesh) callSelf(ctx context.Context, method Method, body []byte) ([]byte, error) {
	h, known := m.handlers[method]
	if !known {
		return nil, &CallError{Peer: m.cfg.Self, Cause: errors.Newf("no method %s", method)}
	}
	answer, err := h(ctx, m.cfg.Self, body)
	if err != nil {
		return nil, &RemoteError{Peer: m.cfg.Self, Message: err.Error()}
	}
	return answer, nil
}

// timeUntilDeadline returns the time until the deadline of ctx, at least 0, or
// DefaultTimeout if there is no deadline.
func timeUntilDeadline(ctx context.Context) clock.Millis {
	deadline, has := ctx.Deadline()
	if !has {
		return clock.FromDuration(DefaultTimeout)
	}
	return max(clock.FromDuration(time.Until(deadline)), 0)
}
