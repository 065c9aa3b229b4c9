package placement

import "time"

const (
	// notSentBackoff is how long a replica gets no orders after an order that was
	// not sent.
	notSentBackoff = 2 * time.Second
	// refusedBackoff is how long a replica gets no orders after it refused an order
	// or could not be reached.
	refusedBackoff = 10 * time.Second
)

// loadOrder is the state of the last order to a replica.
type loadOrder struct {
	model     string
	orderedAt time.Time
	// replaces is set if the replica may drop its other models for the new one.
	replaces bool
	// loaded is set when the replica has reported the model.
	loaded bool
	// deadline is the time at which an unfinished load counts as failed. After a
	// failure the replica gets no orders until blockedUntil.
	deadline, blockedUntil time.Time
	failed                 bool
}

// active reports whether the load may still be in progress.
func (l *loadOrder) active() bool { return !l.loaded && !l.failed }

// markNotStarted records that the order certainly did not start a load.
func (l *loadOrder) markNotStarted(backoff time.Duration) {
	l.failed = true
	l.blockedUntil = time.Now().Add(backoff)
}
