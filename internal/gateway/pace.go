package gateway

import "time"

// pacePerHost is added to the time between two reads of the store for each host, so
// that the reads of a large fleet grow more slowly than the fleet.
const pacePerHost = 5 * time.Millisecond

// pace returns the time between two reads of the store for a fleet of n hosts.
func pace(base, limit time.Duration, n int) time.Duration {
	return min(base+time.Duration(n)*pacePerHost, limit)
}
