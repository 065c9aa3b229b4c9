package standin

import "time"

// Load is a replica's load report, served at GET /v1/load in the JSON format
// that internal/upstream reads. It is defined separately because the stand-ins
// are an independent implementation of the protocol and do not import
// internal/upstream.
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
