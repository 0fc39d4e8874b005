package port

import (
	"context"

	"go.opentelemetry.io/otel/propagation"
)

// traceContext encodes spans in the W3C Trace Context format.
var traceContext = propagation.TraceContext{}

// TraceparentHeader is the name of the W3C Trace Context header.
const TraceparentHeader = "Traceparent"

// Traceparent returns the span of ctx in the W3C format; "" if there is none.
func Traceparent(ctx context.Context) string {
	h := propagation.HeaderCarrier{}
	traceContext.Inject(ctx, h)
	return h.Get(TraceparentHeader)
}

// WithTraceparent returns ctx with the remote span that traceparent identifies, or ctx itself if
// traceparent is empty.
func WithTraceparent(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return traceContext.Extract(ctx, propagation.HeaderCarrier{TraceparentHeader: {traceparent}})
}
