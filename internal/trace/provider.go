package trace

import (
	"context"
	"net/http"

	"github.com/samber/oops"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
)

// instrumentation names the tracer.
const instrumentation = "cowslipgw"

// propagator reads and writes W3C traceparent headers.
var propagator = propagation.TraceContext{}

// Tracer starts spans for one host.
type Tracer struct {
	tracer   oteltrace.Tracer
	provider *sdktrace.TracerProvider
}

// Options say where spans go.
type Options struct {
	// Endpoint is the URL of an OTLP/HTTP collector; empty exports nothing.
	Endpoint string
	// Host is added to each span as attribute "host.id".
	Host string
	// Processor gets each span besides the exporter; nil for none. Tests use it.
	Processor sdktrace.SpanProcessor
}

// New returns a tracer. With neither endpoint nor processor, spans carry trace
// IDs onward but are not recorded.
func New(ctx context.Context, options Options) (*Tracer, error) {
	providerOptions := []sdktrace.TracerProviderOption{
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("host.id", options.Host))),
	}
	if options.Processor != nil {
		providerOptions = append(providerOptions, sdktrace.WithSpanProcessor(options.Processor))
	}
	if options.Endpoint != "" {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(options.Endpoint))
		if err != nil {
			return nil, oops.In("trace").Wrapf(err, "set up the OTLP exporter")
		}
		providerOptions = append(providerOptions, sdktrace.WithBatcher(exporter))
	}
	if options.Processor == nil && options.Endpoint == "" {
		providerOptions = append(providerOptions, sdktrace.WithSampler(sdktrace.NeverSample()))
	}
	provider := sdktrace.NewTracerProvider(providerOptions...)
	return &Tracer{tracer: provider.Tracer(instrumentation), provider: provider}, nil
}

// Start begins a span as a child of the span in ctx.
func (t *Tracer) Start(ctx context.Context, name string, attributes ...attribute.KeyValue) (context.Context, oteltrace.Span) {
	return t.tracer.Start(ctx, name, oteltrace.WithAttributes(attributes...))
}

// Close exports the spans that are still buffered.
func (t *Tracer) Close(ctx context.Context) error {
	return t.provider.Shutdown(ctx)
}

// Extract returns a context with the caller's trace, read from traceparent.
func Extract(ctx context.Context, header http.Header) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(header))
}

// Inject writes the trace of ctx as traceparent.
func Inject(ctx context.Context, header http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(header))
}

// Parent returns the traceparent value of ctx for a control message; empty when
// ctx has no trace.
func Parent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier["traceparent"]
}

// WithParent returns a context that continues the trace of a control message.
func WithParent(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return propagator.Extract(ctx, propagation.MapCarrier{"traceparent": traceparent})
}
