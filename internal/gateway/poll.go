package gateway

import "time"

// pollIntervalPerHost is added to the interval between two reads of the store for each
// host, so that the read rate grows more slowly than the fleet.
const pollIntervalPerHost = 5 * time.Millisecond

// pollInterval returns the interval between two reads of the store in a fleet of n hosts.
func pollInterval(base, limit time.Duration, n int) time.Duration {
	return min(base+time.Duration(n)*pollIntervalPerHost, limit)
}
