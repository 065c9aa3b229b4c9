package owner

// Reply carries an operation's result between hosts.
type Reply[R any] struct {
	Code Code
	// Detail explains CodeFailed.
	Detail string
	Value  R
}

// Call is an operation as it travels between hosts.
type Call[A any] struct {
	// Traceparent continues the caller's trace.
	Traceparent string
	// TimeoutMillis is how long the caller waits. A duration travels and not a
	// deadline, because the clocks of hosts differ.
	TimeoutMillis int64
	Args          A
}
