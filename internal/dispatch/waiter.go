package dispatch

import (
	"time"

	"cowslipgw/internal/structs"
)

// waiter is a call that waits in a pool.
type waiter struct {
	request  Request
	deadline time.Time
	// asking counts the open questions of the call's host, lastAsked is when the last
	// one ended.
	asking    int
	lastAsked time.Time
	// done is closed when reply is set.
	done  chan struct{}
	reply AcquireReply
}

// finish ends the wait. It is called once, under the pool's lock.
func (w *waiter) finish(reply AcquireReply) {
	w.reply = reply
	close(w.done)
}

// heldSlot is a slot that was given and not yet released.
type heldSlot struct {
	slot   Slot
	origin structs.Origin
	since  time.Time
	model  string
	// claimed is set once the slot was handed to a question that was open.
	claimed bool
}
