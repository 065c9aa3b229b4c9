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

// instrumentationName is the instrumentation scope of all spans.
const instrumentationName = "cowslipgw"

// propagator encodes the trace context as W3C traceparent and tracestate.
var propagator = propagation.TraceContext{}

// Tracer starts spans and exports them for one host.
type Tracer struct {
	tracer   oteltrace.Tracer
	provider *sdktrace.TracerProvider
}

// Options configures a Tracer.
type Options struct {
	// Endpoint is the URL of an OTLP/HTTP collector. If it is empty, nothing is exported.
	Endpoint string
	// Host is the ID of the host. It is the resource attribute "host.id" of every span.
	Host string
	// Processor receives every span in addition to the exporter. It may be nil and is
	// meant for tests.
	Processor sdktrace.SpanProcessor
}

// New returns a tracer. With neither an endpoint nor a processor, spans propagate trace
// IDs but are not recorded.
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
	return &Tracer{tracer: provider.Tracer(instrumentationName), provider: provider}, nil
}

// Start starts a span as a child of the span in ctx. The caller must end it.
func (t *Tracer) Start(ctx context.Context, name string, attributes ...attribute.KeyValue) (context.Context, oteltrace.Span) {
	return t.tracer.Start(ctx, name, oteltrace.WithAttributes(attributes...))
}

// Close exports the spans that are still buffered and shuts the tracer down.
func (t *Tracer) Close(ctx context.Context) error {
	return t.provider.Shutdown(ctx)
}

// Extract returns a context that continues the caller's trace, read from the
// traceparent header.
func Extract(ctx context.Context, header http.Header) context.Context {
	return propagator.Extract(ctx, propagation.HeaderCarrier(header))
}

// Inject writes the trace context of ctx to the traceparent header.
func Inject(ctx context.Context, header http.Header) {
	propagator.Inject(ctx, propagation.HeaderCarrier(header))
}

// Traceparent returns the trace context of ctx as a traceparent value for a control message.
// It is empty if ctx has no trace.
func Traceparent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier["traceparent"]
}

// WithTraceparent returns a context that continues the trace of the traceparent value of a
// control message. If the value is empty, it returns ctx.
func WithTraceparent(ctx context.Context, traceparent string) context.Context {
	if traceparent == "" {
		return ctx
	}
	return propagator.Extract(ctx, propagation.MapCarrier{"traceparent": traceparent})
}
