// Package tracing sets up OpenTelemetry tracing. Each hop of a request has a span;
// processes propagate the context as W3C trace context.
package tracing

import (
	"context"
	"os"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/sesamefork/sesamefork/internal/adapter/settings"
	"github.com/sesamefork/sesamefork/internal/failure"
)

// Tracer creates spans and exports them until Shutdown.
type Tracer struct {
	trace.Tracer
	provider *sdktrace.TracerProvider
	file     *os.File
}

const instrumentationScope = "sesamefork"

// New returns the tracer that the settings configure.
func New(t settings.Trace, host settings.Host, service string) (*Tracer, error) {
	if t.Exporter == "none" {
		return &Tracer{Tracer: noop.NewTracerProvider().Tracer(instrumentationScope)}, nil
	}
	out := &Tracer{}
	exporter, err := out.exporter(t)
	if err != nil {
		return nil, err
	}
	res := resource.NewSchemaless(
		attribute.String("service.name", service),
		attribute.String("host.id", host.ID),
		attribute.String("sesame.region", host.Region),
		attribute.String("sesame.failure_domain", host.FailureDomain),
	)
	out.provider = sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(res),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(t.SampleRatio))),
	)
	out.Tracer = out.provider.Tracer(instrumentationScope)
	return out, nil
}

func (t *Tracer) exporter(s settings.Trace) (sdktrace.SpanExporter, error) {
	if s.Exporter == "otlp" {
		e, err := otlptracehttp.New(context.Background(), otlptracehttp.WithEndpoint(s.Endpoint), otlptracehttp.WithInsecure())
		if err != nil {
			return nil, failure.Wrap(err, failure.InvalidSettings, "")
		}
		return e, nil
	}
	f, err := os.OpenFile(s.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidSettings, "")
	}
	t.file = f
	e, err := stdouttrace.New(stdouttrace.WithWriter(f))
	if err != nil {
		return nil, failure.Wrap(err, failure.InvalidSettings, "")
	}
	return e, nil
}

// flushTimeout limits the wait for the exporter in Shutdown.
const flushTimeout = 300 * time.Millisecond

// Shutdown exports the remaining spans and closes the exporter's file. It gives up after flushTimeout.
func (t *Tracer) Shutdown() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if t.provider != nil {
		_ = t.provider.Shutdown(ctx)
	}
	if t.file != nil {
		_ = t.file.Close()
	}
}
