package tracing

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// hungExporter is an exporter whose collector does not answer.
type hungExporter struct{ gaveUp chan struct{} }

func (e hungExporter) ExportSpans(ctx context.Context, _ []sdktrace.ReadOnlySpan) error {
	defer close(e.gaveUp)
	<-ctx.Done()
	return ctx.Err()
}

func (hungExporter) Shutdown(context.Context) error { return nil }

// TestShutdownDoesNotWaitForACollector guards against a process that is killed at the end of its grace time
// because the collector of its spans does not answer.
func TestShutdownDoesNotWaitForACollector(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		exporter := hungExporter{make(chan struct{})}
		tracer := &Tracer{provider: sdktrace.NewTracerProvider(sdktrace.WithBatcher(exporter))}
		_, span := tracer.provider.Tracer(instrumentationScope).Start(t.Context(), "request")
		span.End()
		began := time.Now()
		tracer.Shutdown()
		if took := time.Since(began); took > flushTimeout {
			t.Errorf("the shutdown took %s, want %s at most", took, flushTimeout)
		}
		<-exporter.gaveUp // its own time limit
	})
}
