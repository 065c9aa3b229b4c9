package dispatch

import "time"

// Limits bound the queue of a pool.
type Limits struct {
	// Account and Pool are the most calls that wait, of one client account and in all.
	Account, Pool int
	// Wait is the longest wait for a replica.
	Wait time.Duration
}

// DefaultLimits are the limits in use. At 16 calls in flight on each of 8 replicas
// a pool's queue of 2,000 calls holds about 15 rounds of calls, more than can be
// served within the longest wait.
func DefaultLimits() Limits {
	return Limits{Account: 500, Pool: 2000, Wait: 30 * time.Second}
}

const (
	// answerWithin is how long a host waits for any answer of a dispatcher before it
	// chooses a replica by itself.
	answerWithin = 500 * time.Millisecond
	// pollWait is how long a dispatcher keeps one question open. It is shorter than
	// answerWithin, so that a call that queues is told so in time.
	pollWait = 350 * time.Millisecond
	// pollGrace is how long a call stays in the queue, or an unclaimed slot reserved,
	// after its host last asked.
	pollGrace = time.Second
	// tick is how often a pool with waiting calls decides again, for calls that hold for
	// a replica or pass their deadline.
	tick = 20 * time.Millisecond
	// registerEvery is how often a host lists its calls in flight to the dispatcher.
	registerEvery = 5 * time.Second
	// unlistedGrace is the age from which a slot is freed that its host does not list.
	// It covers a list that was built before the host saw the slot.
	unlistedGrace = 5 * time.Second
)
