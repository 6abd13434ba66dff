package instance

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"go.opentelemetry.io/otel/trace"

	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/logger"
	"github.com/chervilvane/chervilvane/tracer"
	"github.com/chervilvane/chervilvane/unit"
)

// readTimeout bounds the receipt of one call.
const readTimeout = 30 * time.Second

// accept takes connections of peers until the mesh ends.
func (m *Mesh) accept(ln *quic.Listener) error {
	for {
		c, err := ln.Accept(m.ctx)
		if err != nil {
			if m.ctx.Err() != nil {
				return nil
			}
			return errors.Wrap(err, "accepting connections of the mesh")
		}
		m.group.Go(func() error {
			m.admit(c)
			return nil
		})
	}
}

// serve registers a connection and starts to serve its calls and notes.
func (m *Mesh) serve(p *peer, c *quic.Conn) {
	p.add(c)
	m.log.WithField(logger.FieldPeer, p.id).Debug("connected to a peer")
	m.group.Go(func() error {
		defer p.remove(c)
		m.acceptCalls(p.id, c)
		return nil
	})
	m.group.Go(func() error {
		m.acceptNotes(p.id, c)
		return nil
	})
	if m.ctx.Err() != nil {
		// closeConnections may have run before the connection was registered.
		_ = c.CloseWithError(codeClosing, "closing")
	}
}

func (m *Mesh) closeConnections() {
	for _, p := range m.peers {
		for _, c := range p.all() {
			_ = c.CloseWithError(codeClosing, "closing")
		}
	}
}

// acceptCalls returns when the connection has ended.
func (m *Mesh) acceptCalls(from unit.Instance, c *quic.Conn) {
	for {
		s, err := c.AcceptStream(m.ctx)
		if err != nil {
			return
		}
		m.group.Go(func() error {
			m.answer(from, s)
			return nil
		})
	}
}

// answer serves one call.
func (m *Mesh) answer(from unit.Instance, s *quic.Stream) {
	_ = s.SetReadDeadline(time.Now().Add(readTimeout))
	var f callFrame
	if err := readFrame(s, &f); err != nil {
		s.CancelRead(codeMalformed)
		s.CancelWrite(codeMalformed)
		return
	}
	r := m.handle(s.Context(), from, f)
	if _, err := s.Write(encoder.Marshal(r)); err != nil {
		s.CancelWrite(codeAbandoned)
		return
	}
	_ = s.Close()
}

// handle runs the handler of a call. The handler's context ends with the
// caller's deadline, when the caller gave up (which ends stream) and when the
// mesh ends.
func (m *Mesh) handle(stream context.Context, from unit.Instance, f callFrame) replyFrame {
	h, known := m.handlers[f.Method]
	if !known {
		return replyFrame{Status: statusRefused, Body: []byte("no method " + string(f.Method))}
	}
	if m.ctx.Err() != nil {
		return replyFrame{Status: statusRefused, Body: []byte("shutting down")}
	}
	ctx, cancel := context.WithTimeout(m.ctx, f.Timeout.Duration())
	defer cancel()
	gone := context.AfterFunc(stream, cancel)
	defer gone()
	ctx, span := tracer.StartChild(f.Trace.Extract(ctx), m.cfg.Tracer, "mesh serve "+string(f.Method), trace.WithSpanKind(trace.SpanKindServer))
	body, err := h(ctx, from, f.Body)
	tracer.End(span, err)
	if err != nil {
		return replyFrame{Status: statusFailed, Body: []byte(err.Error())}
	}
	if len(body) > MaxBody {
		return replyFrame{Status: statusFailed, Body: []byte("the answer is too long")}
	}
	return replyFrame{Status: statusAnswered, Body: body}
}
