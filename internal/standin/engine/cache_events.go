package engine

import (
	"net/http"
	"strconv"
	"time"

	"cowslipgw/internal/standin"
)

const (
	// maxKeptEvents limits the number of cache events that an engine keeps.
	maxKeptEvents = 8192
	// maxEventsPerResponse limits the number of events in one response.
	maxEventsPerResponse = 1024
)

// CacheEvent reports that a cache entry was stored or evicted. Numbers are
// consecutive; a gap between two events means that events were lost.
type CacheEvent struct {
	Number uint64 `json:"number"`
	// Kind is "stored" or "evicted".
	Kind string `json:"kind"`
	// Program is the program whose call or release caused the event, or 0.
	Program uint64    `json:"program"`
	Prefix  uint64    `json:"prefix"`
	Tokens  int64     `json:"tokens"`
	At      time.Time `json:"at"`
}

// cacheEventLog keeps the most recent events and reports them after a lag. It is
// guarded by the engine's mutex.
type cacheEventLog struct {
	lag        time.Duration
	gap        uint64
	lastNumber uint64
	events     []CacheEvent
}

func (c *cacheEventLog) add(kind string, program uint64, l link) {
	c.lastNumber++
	if c.gap > 0 && c.lastNumber%c.gap == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{
		Number: c.lastNumber, Kind: kind, Program: program, Prefix: l.hash, Tokens: l.tokens, At: time.Now(),
	})
	if len(c.events) > maxKeptEvents {
		c.events = c.events[1:]
	}
}

// after returns the visible events with numbers greater than n, up to
// maxEventsPerResponse.
func (c *cacheEventLog) after(n uint64) []CacheEvent {
	cutoff := time.Now().Add(-c.lag)
	events := []CacheEvent{}
	for _, e := range c.events {
		if e.At.After(cutoff) || len(events) == maxEventsPerResponse {
			break
		}
		if e.Number > n {
			events = append(events, e)
		}
	}
	return events
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil && r.URL.Query().Get("after") != "" {
		standin.WriteError(w, http.StatusBadRequest, "invalid_request", "after is not a number")
		return
	}
	e.mu.Lock()
	events := e.cache.events.after(after)
	e.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, map[string][]CacheEvent{"events": events})
}
