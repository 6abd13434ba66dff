package tracer

import (
	"context"
	"net/http"

	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// w3c encodes trace contexts in the form of the W3C recommendation.
var w3c propagation.TraceContext

// Names of the W3C trace context headers.
const (
	parentHeader = "traceparent"
	stateHeader  = "tracestate"
)

// TraceContext is a trace context that is sent to another process. Its fields are the
// values of the two W3C headers. The zero value belongs to no trace.
type TraceContext struct {
	// Parent is the value of traceparent.
	Parent string `cbor:",omitempty"`
	// State is the value of tracestate.
	State string `cbor:",omitempty"`
}

// Inject returns the trace context of ctx, or the zero value if ctx belongs to no
// trace.
func Inject(ctx context.Context) TraceContext {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return TraceContext{}
	}
	m := propagation.MapCarrier{}
	w3c.Inject(ctx, m)
	return TraceContext{Parent: m[parentHeader], State: m[stateHeader]}
}

// Extract returns ctx with c as the remote parent of new spans. It returns ctx itself
// if c belongs to no trace.
func (c TraceContext) Extract(ctx context.Context) context.Context {
	if c.Parent == "" {
		return ctx
	}
	return w3c.Extract(ctx, propagation.MapCarrier{parentHeader: c.Parent, stateHeader: c.State})
}

// InjectHTTP adds the trace context of ctx to the headers of a request.
func InjectHTTP(ctx context.Context, h http.Header) {
	w3c.Inject(ctx, propagation.HeaderCarrier(h))
}

// ExtractHTTP returns ctx with the trace context in the headers of a request as the
// remote parent of new spans.
func ExtractHTTP(ctx context.Context, h http.Header) context.Context {
	return w3c.Extract(ctx, propagation.HeaderCarrier(h))
}

// StartChild starts a span if ctx belongs to a trace and t isn't nil. Otherwise it
// returns ctx and a span that does nothing.
func StartChild(ctx context.Context, t trace.Tracer, name string, options ...trace.SpanStartOption) (context.Context, trace.Span) {
	if t == nil || !trace.SpanContextFromContext(ctx).IsValid() {
		return ctx, noop.Span{}
	}
	return t.Start(ctx, name, options...)
}

// End ends a span. If err isn't nil, it sets the span's status to error.
func End(s trace.Span, err error) {
	if err != nil {
		s.SetStatus(codes.Error, err.Error())
	}
	s.End()
}

// TraceID returns the id of the trace that ctx belongs to, or "" if there is none.
func TraceID(ctx context.Context) string {
	sc := trace.SpanContextFromContext(ctx)
	if !sc.HasTraceID() {
		return ""
	}
	return sc.TraceID().String()
}
