package turns

import "sync/atomic"

// change is a decided change that is being written to the store.
type change struct {
	turn Turn
	// budget limits the program's tokens if the change reserves some; 0 otherwise.
	budget int
	// preallocation is the number of tokens that this owner may grant without a further
	// record once the change is stored.
	preallocation int
	// backup keeps copies of what is granted from the preallocation.
	backup int64
	// convertedAt is one more than the foreignOffset of the program at which the granter's preallocation was
	// reduced by the turn; 0 if it was not.
	convertedAt int64
	// hadRecord is set if the turn had a record before, or another owner has stored one: it does not count
	// within its granter's preallocation.
	hadRecord bool
	// held counts the contents of all pending changes, of which this one has bytes.
	held  *atomic.Int64
	bytes int64
	// done is closed when the change is stored or withdrawn.
	done chan struct{}
	// isLast is set if the record preallocates only what is granted already.
	isLast bool
	// isRelease is set if the change only gives a preallocation back, which the host does not wait
	// for when it stops.
	isRelease bool
	// rejected is set if the store accepts the change at no time.
	rejected bool
	// withdrawn is set if another owner has used up the budget meanwhile.
	withdrawn bool
	// sent is set while an append of the change is in flight or has an unknown outcome;
	// unknown is set once an append ended with an unknown outcome.
	sent, unknown bool
	// readBack is set when the change was read from the store, and completed when done is
	// closed. The partition's lock guards both.
	readBack, completed bool
}

// completeLocked closes done unless it is closed already.
func (c *change) completeLocked() {
	if !c.completed {
		c.completed = true
		if c.held != nil {
			c.held.Add(-c.bytes)
		}
		close(c.done)
	}
}
