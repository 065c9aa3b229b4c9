package structs

// Outcome describes how an upstream call ended.
type Outcome int

const (
	// OutcomeAnswered means that the complete answer arrived.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun means that no byte of the request was sent.
	OutcomeNotRun
	// OutcomeUnknown means that the request was sent but the complete answer did not
	// arrive.
	OutcomeUnknown
)
