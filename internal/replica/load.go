package replica

import "time"

// Load is the load that a replica reports with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes at the replica at this moment, as a multiple of the usual
	// time; 0 if the replica does not report it.
	Pace float64
}

// loadMaxAge is the age at which a reported load is ignored. Requests take about 10 to
// 200 ms, so an older report no longer describes the replica.
const loadMaxAge = 300 * time.Millisecond
