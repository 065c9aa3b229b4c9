package dispatch

import (
	"time"

	"cowslipgw/internal/structs"
)

// waiter is a queued call.
type waiter struct {
	request  Request
	deadline time.Time
	// openPolls is the number of the host's open polls for the call. lastPollEnd is
	// the time at which the last one ended.
	openPolls   int
	lastPollEnd time.Time
	// done is closed when reply is set.
	done  chan struct{}
	reply AcquireReply
}

// finish sets the reply and ends the wait. It must be called at most once, with the
// pool's lock held.
func (w *waiter) finish(reply AcquireReply) {
	w.reply = reply
	close(w.done)
}

// heldSlot is a slot that was granted and not yet released.
type heldSlot struct {
	slot   Slot
	origin structs.Origin
	since  time.Time
	model  string
	// claimed is set once the grant was returned to an open poll, or the host has
	// polled again or registered the call.
	claimed bool
}
