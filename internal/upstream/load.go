package upstream

import "time"

// Load is a replica's own report. It lags behind.
type Load struct {
	// Running and Queued count calls in the engine.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Slots is how many calls the replica batches at once.
	Slots int `json:"slots"`
	// CacheTokens and CacheLimit measure the prefix cache.
	CacheTokens int64 `json:"cache_tokens"`
	CacheLimit  int64 `json:"cache_limit"`
	// Programs lists the opaque program numbers that hold cache.
	Programs []uint64 `json:"programs"`
	// Models lists what is loaded.
	Models []string `json:"models"`
	// Leaving is set when the replica is about to stop.
	Leaving bool `json:"leaving"`
	// At is when the replica measured this.
	At time.Time `json:"at"`
}
