package dispatch

import "time"

// Limits bounds the queue of a pool.
type Limits struct {
	// Account is the maximum number of waiting calls per client account, Pool the
	// maximum for the whole pool.
	Account, Pool int
	// Wait is the maximum time that a call waits for a replica.
	Wait time.Duration
}

// DefaultLimits returns the production limits. With 16 calls in flight on each of 8
// replicas, a pool's queue of 2,000 calls holds about 15 rounds of calls, more than
// can be served within the maximum wait.
func DefaultLimits() Limits {
	return Limits{Account: 500, Pool: 2000, Wait: 30 * time.Second}
}

const (
	// dispatcherTimeout is the time without any answer from a dispatcher after which
	// a host chooses a replica locally.
	dispatcherTimeout = 500 * time.Millisecond
	// pollTimeout is how long a dispatcher keeps a long-poll request open. It is
	// shorter than dispatcherTimeout, so that the host of a queued call gets an
	// answer in time.
	pollTimeout = 350 * time.Millisecond
	// pollGrace is how long a call stays queued, or an unclaimed slot reserved,
	// after the last poll from its host.
	pollGrace = time.Second
	// scheduleInterval is the interval at which a pool with waiting calls
	// reschedules, for calls that are waiting for a particular replica or reach
	// their deadline.
	scheduleInterval = 20 * time.Millisecond
	// registerInterval is the interval at which a host registers its calls in flight
	// with the dispatcher.
	registerInterval = 5 * time.Second
	// unlistedGrace is the age above which a slot is freed if its host's
	// registration does not list it. A younger slot may be missing because the list
	// was built before the host received the grant.
	unlistedGrace = 5 * time.Second
)
