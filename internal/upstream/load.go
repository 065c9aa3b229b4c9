package upstream

import "time"

// Load is a replica's report of its own load. The reported values lag behind the actual
// ones.
type Load struct {
	// Running and Queued are the numbers of running and queued calls in the engine.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Slots is the maximum number of calls that the replica batches.
	Slots int `json:"slots"`
	// CacheTokens and CacheLimit are the size and the capacity of the prefix cache in
	// tokens.
	CacheTokens int64 `json:"cache_tokens"`
	CacheLimit  int64 `json:"cache_limit"`
	// Programs are the opaque numbers of the programs that have cached data.
	Programs []uint64 `json:"programs"`
	// Models are the loaded models.
	Models []string `json:"models"`
	// Leaving is set when the replica is about to stop.
	Leaving bool `json:"leaving"`
	// At is the time at which the replica measured its load.
	At time.Time `json:"at"`
}
