package structs

// Outcome says how an upstream call ended.
type Outcome int

const (
	// OutcomeAnswered means that the whole answer arrived.
	OutcomeAnswered Outcome = iota + 1
	// OutcomeNotRun means that no byte of the request was sent.
	OutcomeNotRun
	// OutcomeUnknown means that the request was sent and the whole answer did not arrive.
	OutcomeUnknown
)
