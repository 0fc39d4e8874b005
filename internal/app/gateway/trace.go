package gateway

import (
	"context"
	"strings"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/sesamefork/sesamefork/internal/core/dispatch"
	"github.com/sesamefork/sesamefork/internal/failure"
	"github.com/sesamefork/sesamefork/internal/port"
)

// startRequest starts the span of a request at this host, as a child of the caller's or the
// sending host's span if there is one.
func (g *Gateway) startRequest(ctx context.Context, r *Request) (context.Context, trace.Span) {
	parent := r.traceparent
	if parent == "" {
		parent = r.Header.Get(port.TraceparentHeader)
	}
	ctx = port.WithTraceparent(ctx, parent)
	return g.o.Tracer.Start(ctx, "request", trace.WithSpanKind(trace.SpanKindServer), trace.WithAttributes(
		requestID(r), attribute.String("sesame.origin", r.Origin),
	))
}

// requestID returns the span attribute of a request's ID. A batch of spans with invalid text cannot be exported.
func requestID(r *Request) attribute.KeyValue {
	return attribute.String("sesame.request_id", strings.ToValidUTF8(r.ID, "\uFFFD"))
}

// startAttempt starts the span of one attempt at the chosen server or region.
func (g *Gateway) startAttempt(ctx context.Context, x *execution, c *dispatch.Choice) (context.Context, trace.Span) {
	name, to := "attempt", ""
	if c.Server != nil {
		to = c.Server.ID
	} else {
		name, to = "forward", c.Host.ID
	}
	return g.o.Tracer.Start(ctx, name, trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		requestID(x.r), attribute.String("sesame.to", to), attribute.Int("sesame.attempt", x.sends),
	))
}

// endSpan ends a span, with the failure's code as its status if there is a failure.
func endSpan(span trace.Span, f *failure.Error) {
	if f != nil {
		span.SetStatus(codes.Error, string(f.Code))
	}
	span.End()
}
