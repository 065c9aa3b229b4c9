package upstream

import (
	"context"
	"strconv"
)

// cacheEventsPath is the path of cache events at an engine.
const cacheEventsPath = "/v1/cache/events"

// maxCacheEvents bounds one answer with cache events in bytes.
const maxCacheEvents = 4 << 20

// CacheEvent reports one change of an engine's prefix cache.
type CacheEvent struct {
	// Number counts the replica's events from 1.
	Number uint64 `json:"number"`
	// Kind is "stored" or "evicted".
	Kind string `json:"kind"`
	// Program is the opaque program number that the cache belongs to.
	Program uint64 `json:"program"`
	// Prefix is a hash of the cached prefix; 0 if the engine does not tell.
	Prefix uint64 `json:"prefix"`
	Tokens int64  `json:"tokens"`
}

// CacheEvents are the events after a number, in order.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Gap is set when events between the number asked for and the first one are lost.
	// What is known of the replica's cache is then incomplete.
	Gap bool `json:"-"`
}

// CacheEvents reads the cache events after a number. Events that arrive late or
// twice are dropped, gaps are marked.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) (CacheEvents, error) {
	var read CacheEvents
	path := cacheEventsPath + "?after=" + strconv.FormatUint(after, 10)
	if err := c.getJSON(ctx, address, path, maxCacheEvents, &read); err != nil {
		return CacheEvents{}, err
	}
	var result CacheEvents
	last := after
	for _, event := range read.Events {
		if event.Number <= last {
			continue
		}
		if event.Number != last+1 {
			result.Gap = true
		}
		last = event.Number
		result.Events = append(result.Events, event)
	}
	return result, nil
}
