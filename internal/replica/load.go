package replica

import "time"

// Load is what a replica reports with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// loadMemory is how long a reported load counts: a request takes some 10 to 200 ms, so
// an older report says little.
const loadMemory = 300 * time.Millisecond
