package structs

import (
	"fmt"
	"time"
)

// Problem is an outcome that a caller sees as an error. It travels between hosts
// as a value and becomes an RFC 9457 document at the entry host.
type Problem struct {
	// Code is a stable, machine-readable name such as "budget-exhausted".
	Code string
	// Status is the HTTP status.
	Status int
	// Detail explains this occurrence to a person.
	Detail string
	// Run says whether the request was run.
	Run Run
	// RetryAfter is how long a caller should wait before it tries again; 0 if a
	// retry does not help.
	RetryAfter time.Duration
}

// Error returns the code and the detail.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s: %s (run: %s)", p.Code, p.Detail, p.Run)
}
