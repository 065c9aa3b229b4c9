package sched

import "time"

// Settings are the constants of the policy Fair.
type Settings struct {
	// MaxInFlight is the most calls in flight at a replica. The reported number of slots
	// lowers it.
	MaxInFlight int
	// FirstToken is the goal for the time to the first token. A replica whose prefill
	// backlog is estimated to last longer takes no new call.
	FirstToken time.Duration
	// InterToken is the goal for the time between tokens. A replica that misses it is
	// given fewer calls.
	InterToken time.Duration
	// PrefillRate is the assumed prefill of a replica in tokens a second, until it is
	// observed.
	PrefillRate float64
	// AgeingRate is how many tokens of attained service one second of waiting offsets.
	AgeingRate float64
	// CachedCost and OutputCost are the costs of a cached prompt token and of a
	// generated token in fair queueing. A computed prompt token costs 1.
	CachedCost, OutputCost float64
	// LoadBound is how far the load of a program's replica may exceed the mean load, as
	// a factor, before the program moves.
	LoadBound float64
	// Hold is how long a call waits for the replica with its cache before it moves, as a
	// multiple of the time to compute the cache again.
	Hold float64
	// MemoryWeight is how much a replica's share of memory in use counts beside its share
	// of calls in flight when a program is placed.
	MemoryWeight float64
	// PrefixSlack is how much more load, in calls, a replica may have than the least
	// loaded one and still be chosen for a shared prefix.
	PrefixSlack int
}

// DefaultSettings are the settings in use. docs/measurements.md has the
// measurements behind them.
func DefaultSettings() Settings {
	return Settings{
		MaxInFlight:  16,
		FirstToken:   510 * time.Millisecond,
		InterToken:   61 * time.Millisecond,
		PrefillRate:  12000,
		AgeingRate:   1000,
		CachedCost:   0,
		OutputCost:   30,
		LoadBound:    2,
		MemoryWeight: 0.5,
		Hold:         3,
		PrefixSlack:  1,
	}
}
