package engine

import (
	"net/http"
	"strconv"
	"time"

	"cowslipgw/internal/standin"
)

const (
	// keptEvents bounds the cache events that an engine holds.
	keptEvents = 8192
	// maxEvents bounds the events of one answer.
	maxEvents = 1024
)

// CacheEvent says that an entry of the cache was stored or evicted. A number that
// is missing between two events was lost.
type CacheEvent struct {
	Number uint64 `json:"number"`
	// Kind is "stored" or "evicted".
	Kind string `json:"kind"`
	// Program is the program whose call or release caused the event; 0 for none.
	Program uint64    `json:"program"`
	Prefix  uint64    `json:"prefix"`
	Tokens  int64     `json:"tokens"`
	At      time.Time `json:"at"`
}

// cacheEvents keeps the newest events and reports them late. The engine's lock
// guards it.
type cacheEvents struct {
	lag    time.Duration
	gap    uint64
	number uint64
	events []CacheEvent
}

func (c *cacheEvents) add(kind string, program uint64, l link) {
	c.number++
	if c.gap > 0 && c.number%c.gap == 0 {
		return
	}
	c.events = append(c.events, CacheEvent{
		Number: c.number, Kind: kind, Program: program, Prefix: l.hash, Tokens: l.tokens, At: time.Now(),
	})
	if len(c.events) > keptEvents {
		c.events = c.events[1:]
	}
}

// after returns the visible events with a number above n.
func (c *cacheEvents) after(n uint64) []CacheEvent {
	visible := time.Now().Add(-c.lag)
	events := []CacheEvent{}
	for _, e := range c.events {
		if e.At.After(visible) || len(events) == maxEvents {
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
