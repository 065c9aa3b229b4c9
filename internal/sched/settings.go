package sched

import "time"

// Settings holds the parameters of the Fair policy.
type Settings struct {
	// MaxInFlight is the maximum number of calls in flight at a replica. A lower
	// number of reported slots takes precedence.
	MaxInFlight int
	// FirstToken is the target for the time to first token. A replica takes no new
	// calls while its estimated prefill backlog exceeds it.
	FirstToken time.Duration
	// InterToken is the target for the time between tokens. A replica that misses it
	// has its concurrency limit lowered.
	InterToken time.Duration
	// PrefillRate is the assumed prefill rate of a replica, in tokens per second,
	// until it has been observed.
	PrefillRate float64
	// AgeingRate is the number of tokens of attained service that one second of
	// waiting offsets.
	AgeingRate float64
	// CachedCost and OutputCost are the fair queueing costs of a cached prompt token
	// and of a generated token. An uncached prompt token costs 1.
	CachedCost, OutputCost float64
	// LoadBound is the factor by which the load of a program's replica may exceed
	// the mean load before the program is moved.
	LoadBound float64
	// CacheWait is the maximum time that a call waits for the replica with its cache, as
	// a multiple of the time to recompute the cache.
	CacheWait float64
	// MemoryWeight is the weight of a replica's memory utilization, relative to that
	// of its calls in flight, in the placement of programs.
	MemoryWeight float64
	// PrefixSlack is the additional load, in calls, that a replica may have over the
	// least loaded one and still be chosen for a shared prefix.
	PrefixSlack int
}

// DefaultSettings returns the production settings. The measurements behind them are
// in docs/measurements.md.
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
		CacheWait:    3,
		PrefixSlack:  1,
	}
}
