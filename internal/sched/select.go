package sched

import (
	"time"

	"cowslipgw/internal/structs"
)

// selectReplica chooses one of the candidates for a call. It returns false if the
// call has to wait, either because no candidate fits or because it waits for the
// replica with its cache.
func (f *Fair) selectReplica(r rankedCall, snapshot Snapshot, candidates []candidate, mean float64, now time.Duration) (*candidate, bool) {
	if r.preferred != "" && f.cacheRetained(r, snapshot) {
		for i := range candidates {
			c := &candidates[i]
			if c.id == r.preferred && c.fits(r.call) && f.withinLoadBound(c.load, mean) {
				return c, true
			}
		}
		if f.waitsForCache(r, snapshot, now) {
			return nil, false
		}
	}
	return f.leastLoaded(r.call, candidates)
}

// cacheRetained reports whether the preferred replica still has the program's cache,
// as far as load reports tell. A program whose cache was evicted is placed like a
// new one.
func (f *Fair) cacheRetained(r rankedCall, snapshot Snapshot) bool {
	info := snapshot.find(r.preferred)
	location, known := f.cacheLocations.get(r.call.Program)
	return info == nil || !known || location.replica != r.preferred || location.stillCachedAt(r.call.Program, info)
}

// withinLoadBound reports whether a replica with the given load may take one more
// call of a program that it has in its cache.
func (f *Fair) withinLoadBound(load int, mean float64) bool {
	return float64(load) <= max(minLoadBound, f.settings.LoadBound*mean)
}

// minLoadBound is the load up to which a program always stays on its replica.
// Without it, a single other call would make a program move in a nearly idle pool.
const minLoadBound = 4

// waitsForCache reports whether the call keeps waiting for its preferred replica
// even if other replicas can take it. The wait is bounded by CacheWait times the time
// to recompute the cache, so that waiting never costs much more than moving.
func (f *Fair) waitsForCache(r rankedCall, snapshot Snapshot, now time.Duration) bool {
	info := snapshot.find(r.preferred)
	if info == nil || info.Leaving || r.call.excludes(r.preferred) || !info.serves(r.call.Model) {
		return false
	}
	cached := f.cachedTokens(r.call, info)
	limit := f.settings.CacheWait * float64(cached) / f.state(r.preferred).prefillRate
	return now-r.call.Arrived < seconds(limit)
}

// leastLoaded returns the candidate with the lowest load. A candidate that has the
// call's shared prefix is preferred if its load is at most PrefixSlack higher.
func (f *Fair) leastLoaded(call *Call, candidates []candidate) (*candidate, bool) {
	var best, withPrefix *candidate
	for i := range candidates {
		c := &candidates[i]
		if !c.fits(call) {
			continue
		}
		if best == nil || f.lessLoaded(c, best) {
			best = c
		}
		if call.Prefix == 0 || !f.prefixes.has(call.Prefix, c.id) {
			continue
		}
		if withPrefix == nil || f.lessLoaded(c, withPrefix) {
			withPrefix = c
		}
	}
	if best == nil {
		return nil, false
	}
	if withPrefix != nil && withPrefix.pressure <= best.pressure+f.prefixSlack() {
		return withPrefix, true
	}
	return best, true
}

// lessLoaded orders candidates by pressure, then by prefill backlog, then by ID.
func (f *Fair) lessLoaded(a, b *candidate) bool {
	if a.pressure != b.pressure {
		return a.pressure < b.pressure
	}
	if a.state.prefillDoneAt != b.state.prefillDoneAt {
		return a.state.prefillDoneAt < b.state.prefillDoneAt
	}
	return a.id < b.id
}

// prefixSlack returns PrefixSlack in units of pressure.
func (f *Fair) prefixSlack() float64 {
	return float64(f.settings.PrefixSlack) / float64(f.settings.MaxInFlight)
}

// pressure returns the utilization of a replica: its calls relative to MaxInFlight,
// plus its cache in use relative to the cache limit, weighted by MemoryWeight.
// Memory counts because programs stay where they start, and a replica that is short
// of memory evicts cache that its programs will need again.
func (f *Fair) pressure(info *Replica, load int) float64 {
	pressure := float64(load) / float64(f.settings.MaxInFlight)
	if info.CacheLimit > 0 {
		pressure += f.settings.MemoryWeight * float64(info.CacheTokens) / float64(info.CacheLimit)
	}
	return pressure
}

// preferredReplica returns the replica that has the call's program in its cache, or
// an empty ID if there is none.
func (f *Fair) preferredReplica(call *Call) structs.ReplicaID {
	if call.Program != 0 {
		if location, ok := f.cacheLocations.get(call.Program); ok {
			return location.replica
		}
	}
	if len(call.Holders) > 0 {
		return call.Holders[0]
	}
	return ""
}

// cachedTokens estimates how many tokens of the call's prompt the replica has in its
// cache.
func (f *Fair) cachedTokens(call *Call, info *Replica) int64 {
	cached := int64(0)
	if call.Prefix != 0 && f.prefixes.has(call.Prefix, info.ID) {
		cached = call.PrefixTokens
	}
	if call.Program == 0 {
		return min(cached, call.PromptTokens)
	}
	location, known := f.cacheLocations.get(call.Program)
	if known && location.replica == info.ID && location.stillCachedAt(call.Program, info) {
		cached = max(cached, location.tokens)
	}
	if !known && len(call.Holders) > 0 && call.Holders[0] == info.ID {
		cached = call.PromptTokens
	}
	return min(cached, call.PromptTokens)
}
