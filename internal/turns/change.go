package turns

// change is a decided change on its way into the store.
type change struct {
	turn Turn
	// budget bounds the program's tokens when the change reserves some; 0 otherwise.
	budget int
	// ahead is what the record of the change lets this home grant ahead.
	ahead int
	// done is closed when the change is in the store or was withdrawn.
	done chan struct{}
	// withdrawn says that the budget turned out to be used by another home.
	withdrawn bool
	// sent says that an append of the change is under way or has an unknown outcome, and
	// unknown that one has ended with an unknown outcome.
	sent, unknown bool
	// readBack says that the store was seen to have the change, and ended that done is
	// closed. The partition's lock guards both.
	readBack, ended bool
}

// endLocked closes done.
func (c *change) endLocked() {
	if !c.ended {
		c.ended = true
		close(c.done)
	}
}
