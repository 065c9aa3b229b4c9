package owner

// Reply carries the result of an operation between hosts.
type Reply[R any] struct {
	Code Code
	// Detail is the error text of a failed operation. It is used for CodeFailed.
	Detail string
	Value  R
}

// Call carries an operation and its arguments between hosts.
type Call[A any] struct {
	// Traceparent is the trace context of the caller.
	Traceparent string
	// TimeoutMillis is how long the caller waits. It is a duration rather than a
	// deadline because the clocks of hosts differ.
	TimeoutMillis int64
	Args          A
}
