package dispatch

import "context"

// Dispatcher grants slots on the replicas of a pool.
type Dispatcher interface {
	// Acquire waits for a slot. It returns a *structs.Problem if the request cannot
	// be placed; in that case nothing was sent to a replica.
	Acquire(ctx context.Context, request Request) (Slot, error)
	// Release frees a slot and reports the result of its call.
	Release(slot Slot, result Result)
}
