package sched

import (
	"time"

	"cowslipgw/internal/structs"
)

// generationalCache is a map with bounded size that evicts by generation. When the
// current generation is full it becomes the previous one, and the entries of the old
// previous generation are dropped unless they were set again.
type generationalCache[K comparable, V any] struct {
	limit             int
	current, previous map[K]V
}

func newGenerationalCache[K comparable, V any](limit int) *generationalCache[K, V] {
	return &generationalCache[K, V]{limit: limit, current: make(map[K]V)}
}

// get returns the value of a key.
func (c *generationalCache[K, V]) get(key K) (V, bool) {
	if value, ok := c.current[key]; ok {
		return value, true
	}
	value, ok := c.previous[key]
	return value, ok
}

// put sets the value of a key in the current generation.
func (c *generationalCache[K, V]) put(key K, value V) {
	if len(c.current) >= c.limit {
		c.previous = c.current
		c.current = make(map[K]V)
	}
	c.current[key] = value
}

// cacheLocation is the replica on which a program last ran, with the number of the
// program's tokens in its cache.
type cacheLocation struct {
	replica structs.ReplicaID
	tokens  int64
	// at is the time at which a call of the program was last dispatched there or
	// ended there.
	at time.Duration
}

// stillCachedAt reports whether the replica still has the program in its cache. A
// load report that is newer than the program's last activity and does not list the
// program means that the replica has evicted it.
func (l cacheLocation) stillCachedAt(program uint64, info *Replica) bool {
	if info.Programs == nil || info.ReportedAt <= l.at {
		return true
	}
	_, held := info.Programs[program]
	return held
}

const (
	// maxCacheLocations bounds each generation of the cache locations of programs.
	// An entry takes about 100 bytes.
	maxCacheLocations = 50_000
	// maxPrefixes bounds each generation of prefix locations.
	maxPrefixes = 10_000
)

// prefixLocation is a shared prefix on a replica.
type prefixLocation struct {
	prefix  uint64
	replica structs.ReplicaID
}

// prefixTable records which replicas have computed which shared prefixes.
type prefixTable struct {
	locations *generationalCache[prefixLocation, struct{}]
}

func (t prefixTable) has(prefix uint64, replica structs.ReplicaID) bool {
	_, ok := t.locations.get(prefixLocation{prefix, replica})
	return ok
}

func (t prefixTable) add(prefix uint64, replica structs.ReplicaID) {
	t.locations.put(prefixLocation{prefix, replica}, struct{}{})
}
