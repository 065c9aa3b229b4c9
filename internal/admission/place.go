package admission

import (
	"time"

	"cowslipgw/internal/boottime"
)

// place is what a pool knows of one program that asked to begin.
type place struct {
	kind *kind
	// work is the expected work of the program, in slot-seconds.
	work float64
	// time is the time that the program had when it first asked, and duration how long it is expected
	// to run.
	time, duration time.Duration
	// latest is when the program must begin to be in time.
	latest boottime.Instant
	// promisedAt is the time of the place that is kept for the program; 0 for none.
	promisedAt boottime.Instant
	// refused is set if there was no place for the program within its time. It begins only into spare
	// capacity, so that the refused programs of a burst do not take the places of later ones.
	refused bool
	// begun is set once the program was admitted.
	begun bool
	// forgetAt is when the pool forgets the program.
	forgetAt boottime.Instant
}
