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

// callReadTimeout bounds the time to receive one call.
const callReadTimeout = 30 * time.Second

// accept accepts connections until the mesh stops.
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
			m.serveIfKnown(c)
			return nil
		})
	}
}

// serve adds a connection to its peer and starts to serve its calls and one-way
// messages.
func (m *Mesh) serve(p *peer, c *quic.Conn) {
	p.add(c)
	m.log.WithField(logger.FieldPeer, p.id).Debug("connected to a peer")
	m.group.Go(func() error {
		defer p.remove(c)
		m.acceptCalls(p.id, c)
		return nil
	})
	m.group.Go(func() error {
		m.acceptMessageStreams(p.id, c)
		return nil
	})
	if m.ctx.Err() != nil {
		// closeConnections may have run before the connection was added.
		_ = c.CloseWithError(codeClosing, "closing")
	}
}

func (m *Mesh) closeConnections() {
	for _, p := range m.peers {
		for _, c := range p.connections() {
			_ = c.CloseWithError(codeClosing, "closing")
		}
	}
}

// acceptCalls serves the calls of a connection until the connection ends.
func (m *Mesh) acceptCalls(from unit.Instance, c *quic.Conn) {
	for {
		s, err := c.AcceptStream(m.ctx)
		if err != nil {
			return
		}
		m.group.Go(func() error {
			m.serveCall(from, s)
			return nil
		})
	}
}

// serveCall reads a call from a stream, handles it and writes the reply.
func (m *Mesh) serveCall(from unit.Instance, s *quic.Stream) {
	_ = s.SetReadDeadline(time.Now().Add(callReadTimeout))
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

// handle runs the handler of a call and returns the reply. The handler's context
// ends at the caller's deadline, when the caller abandons the call (which ends the
// context stream) and when the mesh stops.
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
	stop := context.AfterFunc(stream, cancel)
	defer stop()
	ctx, span := tracer.StartChild(f.Trace.Extract(ctx), m.cfg.Tracer, "mesh serve "+string(f.Method), trace.WithSpanKind(trace.SpanKindServer))
	body, err := h(ctx, from, f.Body)
	tracer.End(span, err)
	if err != nil {
		return replyFrame{Status: statusFailed, Body: []byte(err.Error())}
	}
	if len(body) > MaxBodyBytes {
		return replyFrame{Status: statusFailed, Body: []byte("the answer is too long")}
	}
	return replyFrame{Status: statusOK, Body: body}
}
