package admission

import (
	"time"

	"cowslipgw/internal/boottime"
)

// place is the part of the engines that the pool keeps for one program.
type place struct {
	kind  *kind
	route *routeDemand
	slots float64
	// first and end are the slices in which the program is expected to run.
	first, end int64
	// latest is the last slice in which the program can begin and still be in time.
	latest int64
	// deadline is when the program should be finished.
	deadline boottime.Instant
	// duration is how long the program is expected to run.
	duration time.Duration
	// begun is set once the program was admitted. Before, the place is kept for its return.
	begun bool
	// reserved is set while the slots count as promised.
	reserved bool
	// forgetAt is when the pool forgets the program.
	forgetAt boottime.Instant
}

// begin notes that the program was admitted. The pool remembers it until its deadline, since its first
// turn may be sent again.
func (pl *place) begin(now boottime.Instant) {
	pl.begun = true
	pl.forgetAt = min(max(pl.deadline, now.Add(rememberTime)), now.Add(maxRememberTime))
}
