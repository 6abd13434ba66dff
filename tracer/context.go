package tracer

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

var w3c propagation.TraceContext

// Names of the W3C headers.
const (
	parentHeader = "traceparent"
	stateHeader  = "tracestate"
)

// TraceContext is a trace context on its way to another process, in the form of
// the two W3C headers.
type TraceContext struct {
	Parent string `cbor:",omitempty"`
	State  string `cbor:",omitempty"`
}

// Inject returns the trace context of ctx.
func Inject(ctx context.Context) TraceContext {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return TraceContext{}
	}
	m := propagation.MapCarrier{}
	w3c.Inject(ctx, m)
	return TraceContext{Parent: m[parentHeader], State: m[stateHeader]}
}

// Extract returns ctx with the carried trace context as the remote parent.
func (c TraceContext) Extract(ctx context.Context) context.Context {
	if c.Parent == "" {
		return ctx
	}
	return w3c.Extract(ctx, propagation.MapCarrier{parentHeader: c.Parent, stateHeader: c.State})
}

// InjectHTTP puts the trace context of ctx into the headers of a request.
func InjectHTTP(ctx context.Context, h http.Header) {
	w3c.Inject(ctx, propagation.HeaderCarrier(h))
}

// ExtractHTTP returns ctx with the trace context of a request's headers.
func ExtractHTTP(ctx context.Context, h http.Header) context.Context {
	return w3c.Extract(ctx, propagation.HeaderCarrier(h))
}

// StartChild starts a span if ctx already belongs to a trace.
func StartChild(ctx context.Context, t trace.Tracer, name string, options ...trace.SpanStartOption) (context.Context, trace.Span) {
	if t == nil || !trace.SpanContextFromContext(ctx).IsValid() {
		return ctx, noop.Span{}
	}
	return t.Start(ctx, name, options...)
}

// End ends a span, marked as failed if err isn't nil.
func End(s trace.Span, err error) {
	if err != nil {
		s.SetStatus(codes.Error, err.Error())
	}
	s.End()
}

// TraceID returns the id of the trace that ctx belongs to, or "".
func TraceID(ctx context.Context) string {
	sc := trace.SpanContextFromContext(ctx)
	if !sc.HasTraceID() {
		return ""
	}
	return sc.TraceID().String()
}
