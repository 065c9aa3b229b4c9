package structs

// Run is the run status of a request: whether it was run upstream.
type Run string

const (
	// RunNo means that no byte of the request was sent upstream.
	RunNo Run = "no"
	// RunYes means that the upstream answered the request.
	RunYes Run = "yes"
	// RunUnknown means that the request was sent and its outcome is unknown.
	RunUnknown Run = "unknown"
)
