package structs

import "time"

// OwnerClock is the time at a partition's owner for one decision.
type OwnerClock struct {
	// Owner is the host that owns the partition. Monotonic times of different owners are
	// not comparable.
	Owner Origin
	// Now is the wall clock time. It is used only for durations of minutes and longer.
	Now time.Time
	// Monotonic is the time since the owner's process started, according to its monotonic
	// clock.
	Monotonic time.Duration
}
