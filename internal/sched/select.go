package sched

import (
	"time"

	"cowslipgw/internal/structs"
)

// selectReplica chooses among the candidates for one call; false when the call
// waits, because no candidate fits or because it holds for the replica with its
// cache.
func (f *Fair) selectReplica(r rankedCall, snapshot Snapshot, candidates []candidate, mean float64, now time.Duration) (*candidate, bool) {
	if r.home != "" && f.cacheRemains(r, snapshot) {
		for i := range candidates {
			c := &candidates[i]
			if c.id == r.home && c.fits(r.call) && f.withinBound(c.load, mean) {
				return c, true
			}
		}
		if f.holds(r, snapshot, now) {
			return nil, false
		}
	}
	return f.leastLoaded(r.call, candidates)
}

// cacheRemains says whether the home still holds the program's cache, as far as
// reports tell. A program whose cache was evicted is placed like a new one.
func (f *Fair) cacheRemains(r rankedCall, snapshot Snapshot) bool {
	info := snapshot.find(r.home)
	h, known := f.homes.get(r.call.Program)
	return info == nil || !known || h.replica != r.home || h.heldAt(r.call.Program, info)
}

// withinBound says whether a replica may take one more call of a program that has
// its cache there.
func (f *Fair) withinBound(load int, mean float64) bool {
	return float64(load) <= max(minBoundedLoad, f.settings.LoadBound*mean)
}

// minBoundedLoad is the load up to which a program never moves. Without it a
// program would move away from one other call in a pool that is nearly idle.
const minBoundedLoad = 4

// holds says whether the call waits on for its home although other replicas may
// have room. It gives up after a wait as long as the time to compute the cache
// again, so the wait never costs much more than the move.
func (f *Fair) holds(r rankedCall, snapshot Snapshot, now time.Duration) bool {
	info := snapshot.find(r.home)
	if info == nil || info.Leaving || r.call.excludes(r.home) || !info.serves(r.call.Model) {
		return false
	}
	cached := f.cachedTokens(r.call, info)
	limit := f.settings.Hold * float64(cached) / f.state(r.home).prefillRate
	return now-r.call.Arrived < seconds(limit)
}

// leastLoaded returns the candidate with the least load. One that has the call's
// shared prefix is preferred when its load is at most PrefixSlack higher.
func (f *Fair) leastLoaded(call *Call, candidates []candidate) (*candidate, bool) {
	var best, withPrefix *candidate
	for i := range candidates {
		c := &candidates[i]
		if !c.fits(call) {
			continue
		}
		if best == nil || f.lighter(c, best) {
			best = c
		}
		if call.Prefix == 0 || !f.prefixes.has(call.Prefix, c.id) {
			continue
		}
		if withPrefix == nil || f.lighter(c, withPrefix) {
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

// lighter compares two candidates by pressure, then by prefill backlog, then by ID.
func (f *Fair) lighter(a, b *candidate) bool {
	if a.pressure != b.pressure {
		return a.pressure < b.pressure
	}
	if a.state.prefillUntil != b.state.prefillUntil {
		return a.state.prefillUntil < b.state.prefillUntil
	}
	return a.id < b.id
}

// prefixSlack is PrefixSlack in units of pressure.
func (f *Fair) prefixSlack() float64 {
	return float64(f.settings.PrefixSlack) / float64(f.settings.MaxInFlight)
}

// pressure is how full a replica is: calls relative to the limit, and memory in use
// relative to its limit times MemoryWeight. Programs stay where they start, so a
// replica that is short of memory evicts what its programs need again.
func (f *Fair) pressure(info *Replica, load int) float64 {
	pressure := float64(load) / float64(f.settings.MaxInFlight)
	if info.CacheLimit > 0 {
		pressure += f.settings.MemoryWeight * float64(info.CacheTokens) / float64(info.CacheLimit)
	}
	return pressure
}

// home returns the replica that holds the call's cache; empty for none.
func (f *Fair) home(call *Call) structs.ReplicaID {
	if call.Program != 0 {
		if h, ok := f.homes.get(call.Program); ok {
			return h.replica
		}
	}
	if len(call.Holders) > 0 {
		return call.Holders[0]
	}
	return ""
}

// cachedTokens estimates how much of the call's prompt a replica has cached.
func (f *Fair) cachedTokens(call *Call, info *Replica) int64 {
	cached := int64(0)
	if call.Prefix != 0 && f.prefixes.has(call.Prefix, info.ID) {
		cached = call.PrefixTokens
	}
	if call.Program == 0 {
		return min(cached, call.PromptTokens)
	}
	h, known := f.homes.get(call.Program)
	if known && h.replica == info.ID && h.heldAt(call.Program, info) {
		cached = max(cached, h.tokens)
	}
	if !known && len(call.Holders) > 0 && call.Holders[0] == info.ID {
		cached = call.PromptTokens
	}
	return min(cached, call.PromptTokens)
}
