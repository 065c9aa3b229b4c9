package dispatch

import "context"

// Dispatcher gives slots on the replicas of a pool.
type Dispatcher interface {
	// Acquire waits for a slot. A *structs.Problem is returned when the request cannot
	// be placed; nothing was sent then.
	Acquire(ctx context.Context, request Request) (Slot, error)
	// Release gives a slot back with what was learned.
	Release(slot Slot, result Result)
}
