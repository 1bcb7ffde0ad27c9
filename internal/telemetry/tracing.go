package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Tracing creates and retains the spans of one daemon.
type Tracing struct {
	Tracer   trace.Tracer
	Ring     *Ring
	provider *sdktrace.TracerProvider
}

// NewTracing starts tracing for the named daemon. Ended spans are retained in the ring.
// When endpoint is set, they are also exported to that OTLP HTTP receiver. The export runs
// in batches in the background, so that requests do not wait for it.
func NewTracing(ctx context.Context, daemon, endpoint string) (*Tracing, error) {
	ring := &Ring{}
	opts := []sdktrace.TracerProviderOption{
		sdktrace.WithSpanProcessor(ring),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", "apricotstream"), attribute.String("service.instance.id", daemon))),
	}
	if endpoint != "" {
		exp, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint))
		if err != nil {
			return nil, err
		}
		opts = append(opts, sdktrace.WithBatcher(exp))
	}
	p := sdktrace.NewTracerProvider(opts...)
	return &Tracing{Tracer: p.Tracer("apricotstream"), Ring: ring, provider: p}, nil
}

// Close exports the remaining spans and stops tracing.
func (t *Tracing) Close(ctx context.Context) error {
	return t.provider.Shutdown(ctx)
}
