package structs

import "time"

// OwnerClock is the time at a partition's owner for one decision.
type OwnerClock struct {
	// Self is the owner. Monotonic times of different owners cannot be compared.
	Self Origin
	// Now is the wall clock. It is used for spans of minutes and more only.
	Now time.Time
	// Mono is the time since the owner's process started, from its monotonic clock.
	Mono time.Duration
}
