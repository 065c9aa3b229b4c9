// Package trace sets up OpenTelemetry. Each hop of a request has a span: the
// entry host, the call to the partition's owner, the wait for a replica, and the
// upstream call. Context travels in W3C traceparent headers, and between hosts in
// the control messages. Spans are exported with OTLP over HTTP when an endpoint
// is set, and dropped otherwise.
package trace
