package structs

import (
	"fmt"
	"time"
)

// Problem is a failure that is reported to a caller. Hosts exchange it as a value, and
// the entry host encodes it as an RFC 9457 document.
type Problem struct {
	// Code is a stable, machine-readable identifier such as "budget-exhausted".
	Code string
	// Status is the HTTP status code.
	Status int
	// Detail is a human-readable explanation of this occurrence.
	Detail string
	// Run reports whether the request was run.
	Run Run
	// RetryAfter is how long a caller should wait before a retry. It is 0 if a retry
	// does not help.
	RetryAfter time.Duration
}

// Error returns the code, the detail and the run status.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s: %s (run: %s)", p.Code, p.Detail, p.Run)
}
