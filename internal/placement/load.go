package placement

import "time"

const (
	// retryPause is for how long a replica gets no order after one that was not sent.
	retryPause = 2 * time.Second
	// refusedPause is the same after an order that the replica refused or could not be
	// reached for.
	refusedPause = 10 * time.Second
)

// load is the last order to a replica.
type load struct {
	model string
	at    time.Time
	// replaces says that the replica may drop its other models.
	replaces bool
	// done is set when the replica reported the model.
	done bool
	// overdue is when a load that is not done counts as failed, barred until when the
	// replica gets no order after that.
	overdue, barred time.Time
	failed          bool
}

// active says whether the load may be in progress.
func (l *load) active() bool { return !l.done && !l.failed }

// notTaken notes that the order surely started nothing.
func (l *load) notTaken(pause time.Duration) {
	l.failed = true
	l.barred = time.Now().Add(pause)
}
