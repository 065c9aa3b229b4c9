package upstream

import (
	"context"
	"strconv"
)

// cacheEventsPath is the path at which an engine reports cache events.
const cacheEventsPath = "/v1/cache/events"

// maxCacheEventBytes limits the size of one cache event response.
const maxCacheEventBytes = 4 << 20

// CacheEvent reports one change of an engine's prefix cache.
type CacheEvent struct {
	// Number is the sequence number of the event. Each replica counts from 1.
	Number uint64 `json:"number"`
	// Kind is "stored" or "evicted".
	Kind string `json:"kind"`
	// Program is the opaque number of the program that the cache belongs to.
	Program uint64 `json:"program"`
	// Prefix is a hash of the cached prefix; 0 if the engine does not report it.
	Prefix uint64 `json:"prefix"`
	Tokens int64  `json:"tokens"`
}

// CacheEvents contains the events after a sequence number, in order.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Gap is set when events after the requested sequence number were lost. The view of
	// the replica's cache is then incomplete.
	Gap bool `json:"-"`
}

// CacheEvents returns the cache events after a sequence number. It drops events that
// arrive late or twice, and sets Gap if sequence numbers are missing.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) (CacheEvents, error) {
	var read CacheEvents
	path := cacheEventsPath + "?after=" + strconv.FormatUint(after, 10)
	if err := c.getJSON(ctx, address, path, maxCacheEventBytes, &read); err != nil {
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
