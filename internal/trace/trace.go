// Package trace sets up OpenTelemetry tracing: spans for each hop of a request.
package trace

import (
	"context"
	"os"

	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"go.opentelemetry.io/otel/attribute"
)

// Class is the error class of this package.
var Class = errs.Class("trace")

// Header is the only trace header that leaves the process. The headers baggage and
// tracestate are not propagated because they can contain a caller's secrets.
const Header = "traceparent"

// Tracer starts spans and propagates their context between processes.
type Tracer struct {
	tracer   trace.Tracer
	provider *sdktrace.TracerProvider
	file     *os.File
}

// New returns a tracer that appends spans as JSON to the file at path. An empty path
// disables tracing.
func New(path, instance string) (*Tracer, error) {
	if path == "" {
		return &Tracer{tracer: noop.NewTracerProvider().Tracer("")}, nil
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return nil, Class.Wrap(err)
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.instance.id", instance))),
	)
	return &Tracer{tracer: provider.Tracer("cactusspoke"), provider: provider, file: file}, nil
}

// Start starts a span as a child of the span in ctx.
func (t *Tracer) Start(ctx context.Context, name string) (context.Context, trace.Span) {
	return t.tracer.Start(ctx, name)
}

// Extract returns a context with the remote span of a traceparent header as parent.
func (t *Tracer) Extract(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	carrier := propagation.MapCarrier{Header: traceparent}
	return propagation.TraceContext{}.Extract(ctx, carrier)
}

// Inject returns the traceparent header for the span in ctx, or an empty string if
// tracing is disabled or ctx has no span.
func (t *Tracer) Inject(ctx context.Context) string {
	if t.provider == nil {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[Header]
}

// Close writes the buffered spans and closes the file.
func (t *Tracer) Close(ctx context.Context) {
	if t.provider == nil {
		return
	}
	_ = t.provider.Shutdown(ctx)
	_ = t.file.Close()
}
