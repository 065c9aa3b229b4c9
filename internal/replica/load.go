package replica

import "time"

// Load is the load that a replica reports with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// loadMaxAge is the age at which a reported load is ignored. Requests take about 10 to
// 200 ms, so an older report no longer describes the replica.
const loadMaxAge = 300 * time.Millisecond
