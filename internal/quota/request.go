package quota

// Request is what is asked of a client account's quota.
type Request struct {
	// Start says that the request is the first of a program, which is expected to need
	// Cost requests.
	Start bool
	Cost  float64
	// Urgent says that the request is of the most urgent rank.
	Urgent bool
}
