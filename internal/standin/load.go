package standin

import "time"

// Load is a replica's report at GET /v1/load. It has the JSON form that
// internal/upstream reads; the stand-ins are an independent side of that protocol
// and import nothing from it.
type Load struct {
	Running     int       `json:"running"`
	Queued      int       `json:"queued"`
	Slots       int       `json:"slots"`
	CacheTokens int64     `json:"cache_tokens"`
	CacheLimit  int64     `json:"cache_limit"`
	Programs    []uint64  `json:"programs"`
	Models      []string  `json:"models"`
	Leaving     bool      `json:"leaving"`
	At          time.Time `json:"at"`
}
