// Package trace sets up distributed tracing with OpenTelemetry. Each hop of a request
// has a span: the entry host, the call to the partition's owner, the wait for a
// replica, and the upstream call. The trace context is propagated in W3C traceparent
// headers, and between hosts in control messages. Spans are exported with OTLP over
// HTTP if an endpoint is configured, and are dropped otherwise.
package trace
