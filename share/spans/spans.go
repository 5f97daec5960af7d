// Package spans records trace spans and writes them to a file, one JSON object per
// line, in the format of OpenTelemetry's stdout exporter.
package spans

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
	api "go.opentelemetry.io/otel/trace"
)

// Tracer starts spans. The zero value and nil start spans that record nothing.
type Tracer struct {
	provider *trace.TracerProvider
	tracer   api.Tracer
	file     *os.File
}

// New returns a tracer that appends spans to a file. It records the given ratio of the
// traces that begin in this process; a trace that another process began is recorded if that
// process records it. An empty path disables tracing.
func New(path, program, host string, ratio float64) (*Tracer, error) {
	if path == "" {
		return &Tracer{}, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open trace file")
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "create trace exporter"), file.Close())
	}
	res := resource.NewSchemaless(
		attribute.String("service.name", "dandelionstile-"+program),
		attribute.String("host.name", host),
	)
	p := trace.NewTracerProvider(
		trace.WithBatcher(exporter),
		trace.WithResource(res),
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(ratio))),
	)
	return &Tracer{provider: p, tracer: p.Tracer("dandelionstile"), file: file}, nil
}

// Span is one span of a trace. The zero value records nothing.
type Span struct {
	span api.Span
	ctx  context.Context
}

// Start starts a span as a child of the parent in a traceparent header, or as the
// root of a new trace if parent is empty or invalid.
func (t *Tracer) Start(parent, name string, attrs ...attribute.KeyValue) Span {
	if t == nil || t.tracer == nil {
		return Span{}
	}
	ctx := context.Background()
	if parent != "" {
		ctx = propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{"traceparent": parent})
	}
	ctx, span := t.tracer.Start(ctx, name, api.WithAttributes(attrs...))
	return Span{span: span, ctx: ctx}
}

// Traceparent returns the traceparent header for children of this span, or an empty
// string if the span is not sampled.
func (s Span) Traceparent() string {
	if s.span == nil || !s.span.SpanContext().IsSampled() {
		return ""
	}
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(s.ctx, carrier)
	return carrier["traceparent"]
}

// Event adds an event to the span.
func (s Span) Event(name string, attrs ...attribute.KeyValue) {
	if s.span != nil {
		s.span.AddEvent(name, api.WithAttributes(attrs...))
	}
}

// Set sets attributes of the span.
func (s Span) Set(attrs ...attribute.KeyValue) {
	if s.span != nil {
		s.span.SetAttributes(attrs...)
	}
}

// End ends the span.
func (s Span) End() {
	if s.span != nil {
		s.span.End()
	}
}

// Close writes the remaining spans and closes the file. Spans must not end afterwards.
func (t *Tracer) Close() error {
	if t == nil || t.provider == nil {
		return nil
	}
	err := t.provider.Shutdown(context.Background())
	return errors.CombineErrors(err, t.file.Close())
}
