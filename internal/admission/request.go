package admission

import "time"

// Request asks whether a program may begin.
type Request struct {
	// Service is the name of the service that runs the program's turns.
	Service string
	// Program identifies the program, in all attempts of its first turn.
	Program uint64
	// Route is the name of the route of its turns, and Priority its priority; 0 goes first.
	Route    string
	Priority int
	// TimeLeft is the time until the program should be finished.
	TimeLeft time.Duration
}

// Reason says why a program was not admitted.
type Reason uint8

// The reasons of a decision.
const (
	// Admitted: the program may begin.
	Admitted Reason = iota
	// NoCapacity: a place is kept for the program after Decision.RetryAfter.
	NoCapacity
	// TooLate: the program cannot end in time, and there is no spare capacity for it.
	TooLate
	// Overloaded: there is no place for the program within its time.
	Overloaded
)

// String returns the value of the metric label and log field.
func (r Reason) String() string {
	switch r {
	case Admitted:
		return "admitted"
	case NoCapacity:
		return "capacity"
	case Overloaded:
		return "overloaded"
	case TooLate:
		return "too late"
	default:
		return "unknown"
	}
}

// Decision is the answer to a Request, with the figures that decided it.
type Decision struct {
	Reason Reason
	// RetryAfter is when a program that was not admitted fits.
	RetryAfter time.Duration
	// Slots is the number of slots of the service, InFlight the number of requests that all hosts
	// have in flight there, and Promised the expected demand of the admitted programs, in slots.
	Slots, InFlight, Promised float64
}

// Admitted reports whether the program may begin.
func (d Decision) Admitted() bool { return d.Reason == Admitted }
