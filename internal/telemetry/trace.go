package telemetry

import (
	"context"
	"io"
	"net/http"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"go.opentelemetry.io/otel/attribute"
)

// A Tracer creates the spans of one instance and propagates their context in W3C Trace
// Context headers.
type Tracer struct {
	oteltrace.Tracer
	propagator propagation.TraceContext
	stop       func(context.Context) error
}

// NewTracer returns a tracer that writes the given share of traces, from 0 to 1, to out as
// JSON lines, or one that creates no spans if out is nil or the share is 0. For a trace that
// a caller began, the caller's sampling decision applies instead of the share.
func NewTracer(out io.Writer, instance, zone string, share float64) (*Tracer, error) {
	if out == nil || share <= 0 {
		return &Tracer{
			Tracer: noop.NewTracerProvider().Tracer("birchdrift"),
			stop:   func(context.Context) error { return nil },
		}, nil
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(out))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(share))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "birchdrift"),
			attribute.String("service.instance.id", instance),
			attribute.String("cloud.availability_zone", zone),
		)),
	)
	return &Tracer{Tracer: provider.Tracer("birchdrift"), stop: provider.Shutdown}, nil
}

// Extract returns ctx with the span context read from the headers.
func (t *Tracer) Extract(ctx context.Context, h http.Header) context.Context {
	return t.propagator.Extract(ctx, propagation.HeaderCarrier(h))
}

// Inject writes the span context of ctx into the headers.
func (t *Tracer) Inject(ctx context.Context, h http.Header) {
	t.propagator.Inject(ctx, propagation.HeaderCarrier(h))
}

// Stop writes the remaining spans and stops the tracer.
func (t *Tracer) Stop(ctx context.Context) error { return t.stop(ctx) }
