package quota

// Request is a request to be admitted by a client account's quota.
type Request struct {
	// Start is set for the first request of a program, which is expected to need Cost
	// requests.
	Start bool
	Cost  float64
	// Urgent is set for requests of the highest priority.
	Urgent bool
}
