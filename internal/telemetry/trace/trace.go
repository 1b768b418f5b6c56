// Package trace provides the tracer, with a span for each hop of a request (entry,
// queue, store, peer, upstream). Spans are sent over OTLP/HTTP when an endpoint
// is set.
//
// # Usage
//
//	t, err := trace.New(ctx, trace.Settings{Entry: "entry-1", Endpoint: "10.0.0.7:4318", Share: 0.01})
//	defer t.Close(ctx)
//	ctx = t.Extract(ctx, r.Header)
//	ctx, span := t.Start(ctx, "queue")
//	defer span.End()
package trace

import (
	"context"
	"net/http"

	"agateward/internal/result/code"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Settings are the settings of a Tracer.
type Settings struct {
	// Entry is the name of the entry.
	Entry string
	// Endpoint is the IP address and port of the collector; empty sends nothing.
	Endpoint string
	// Share is the share of requests traced, from 0 to 1, among those without a
	// sampling decision in their traceparent.
	Share float64
}

// Tracer starts spans.
type Tracer struct {
	tracer   oteltrace.Tracer
	provider *sdktrace.TracerProvider
	w3c      propagation.TraceContext
}

// New returns a tracer. Without an endpoint and options it records no spans.
func New(ctx context.Context, s Settings, opts ...sdktrace.TracerProviderOption) (*Tracer, error) {
	if s.Endpoint == "" && len(opts) == 0 {
		return &Tracer{tracer: noop.NewTracerProvider().Tracer("agateward")}, nil
	}
	if s.Endpoint != "" {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(s.Endpoint), otlptracehttp.WithInsecure())
		if err != nil {
			return nil, code.SettingsInvalid.Wrap(err, "set up traces to %s", s.Endpoint)
		}
		opts = append(opts, sdktrace.WithBatcher(exporter))
	}
	opts = append(opts,
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(s.Share))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "agateward"),
			attribute.String("service.instance.id", s.Entry),
		)),
	)
	p := sdktrace.NewTracerProvider(opts...)
	return &Tracer{tracer: p.Tracer("agateward"), provider: p}, nil
}

// Start starts a span for a hop as a child of the span of ctx.
func (t *Tracer) Start(ctx context.Context, hop string, attrs ...attribute.KeyValue) (context.Context, oteltrace.Span) {
	return t.tracer.Start(ctx, hop, oteltrace.WithAttributes(attrs...))
}

// Extract returns ctx with the span context of the traceparent in h.
func (t *Tracer) Extract(ctx context.Context, h http.Header) context.Context {
	return t.w3c.Extract(ctx, propagation.HeaderCarrier(h))
}

// Inject writes the traceparent of ctx's span into h.
func (t *Tracer) Inject(ctx context.Context, h http.Header) {
	t.w3c.Inject(ctx, propagation.HeaderCarrier(h))
}

// Close sends the remaining spans and stops the tracer.
func (t *Tracer) Close(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}
