package peers

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxCached is the number of candidates that are kept for each key.
const maxCached = 8

// view is the state of the live hosts at one moment, from which candidates are chosen. It is
// replaced when a host or its condition changes.
type view struct {
	// own is the condition of this host in the view.
	own   Condition
	hosts []ratedHost
	// owners holds the candidates by key; storeless those for which the store does not
	// matter.
	owners, storeless map[uint64][]Host
}

// ratedHost is a live host with what its order is computed from.
type ratedHost struct {
	host Host
	hash uint64
	// rank orders hosts; a lower one is preferred. storelessRank disregards the store.
	rank, storelessRank int
}

// Ranks of candidates.
const (
	rankAlive = iota
	rankOverloaded
	rankLeaving
	rankStoreLost
)

// rank returns the rank of a host in this condition. Hosts that cannot reach the store rank
// last in a partial outage.
func (c Condition) rank(partialOutage bool) int {
	switch {
	case c.StoreLost && partialOutage:
		return rankStoreLost
	case c.Leaving:
		return rankLeaving
	case c.Overloaded:
		return rankOverloaded
	default:
		return rankAlive
	}
}

// viewLocked returns the current view.
func (t *Table) viewLocked() *view {
	own := t.conditionLocked()
	if t.view != nil && t.view.own == own {
		return t.view
	}
	v := &view{own: own, owners: make(map[uint64][]Host), storeless: make(map[uint64][]Host),
		hosts: make([]ratedHost, 0, len(t.members)+1)}
	partialOutage := t.partialOutageLocked(own.StoreLost)
	add := func(h Host, hash uint64, c Condition) {
		v.hosts = append(v.hosts, ratedHost{host: h, hash: hash, rank: c.rank(partialOutage), storelessRank: c.rank(false)})
	}
	add(t.self, xxhash.Sum64String(t.self.ID), own)
	for _, m := range t.members {
		if t.aliveLocked(m) {
			add(m.host, m.position, m.Condition)
		}
	}
	t.view = v
	return v
}

// partialOutageLocked reports whether at least half of the live hosts reach the store. If
// fewer do, owners do not change: the store is down, or it is recovering and hosts notice
// that one after the other, and each change of an owner would load partitions again.
func (t *Table) partialOutageLocked(selfLost bool) bool {
	reachable, alive := 0, 1
	if !selfLost {
		reachable = 1
	}
	for _, m := range t.members {
		if t.aliveLocked(m) {
			alive++
			if !m.StoreLost {
				reachable++
			}
		}
	}
	return 2*reachable >= alive
}

// candidates returns up to limit hosts for a key in order of preference. Cache holds the
// first of them by key.
func (v *view) candidates(cache map[uint64][]Host, key uint64, limit int, rankOf func(*ratedHost) int) []Host {
	if limit > maxCached {
		return v.rankAll(key, limit, rankOf)
	}
	best, known := cache[key]
	if !known {
		best = v.rankAll(key, maxCached, rankOf)
		cache[key] = best
	}
	return best[:min(limit, len(best)):min(limit, len(best))]
}

// candidate is a host with its sort order for a key.
type candidate struct {
	host  *ratedHost
	rank  int
	score float64
}

// before reports whether a host is preferred to another one.
func (c candidate) before(other candidate) bool {
	if c.rank != other.rank {
		return c.rank < other.rank
	}
	return c.score > other.score
}

// rankAll returns the first limit hosts for a key.
func (v *view) rankAll(key uint64, limit int, rankOf func(*ratedHost) int) []Host {
	limit = min(limit, len(v.hosts))
	best := make([]candidate, 0, limit+1)
	for n := range v.hosts {
		h := &v.hosts[n]
		c := candidate{h, rankOf(h), score(key, h.hash, h.host.weight())}
		if len(best) == limit && !c.before(best[limit-1]) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, c, func(other, c candidate) int {
			if other.before(c) {
				return -1
			}
			return 1
		})
		best = slices.Insert(best, at, c)[:min(len(best)+1, limit)]
	}
	hosts := make([]Host, len(best))
	for n, c := range best {
		hosts[n] = c.host.host
	}
	return hosts
}

// Candidates returns up to limit hosts that may own key, in order of preference. Live hosts
// are ordered by rendezvous hashing, weighted by processor time. Overloaded hosts come after
// all others, then leaving hosts, and then, in a partial outage of the store, the hosts that
// cannot reach it. The result must not be changed.
func (t *Table) Candidates(key uint64, limit int) []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.viewLocked()
	return v.candidates(v.owners, key, limit, func(h *ratedHost) int { return h.rank })
}

// StorelessCandidates is like Candidates for a key whose owner does not need the store.
func (t *Table) StorelessCandidates(key uint64, limit int) []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.viewLocked()
	return v.candidates(v.storeless, key, limit, func(h *ratedHost) int { return h.storelessRank })
}

// score returns the weighted rendezvous score of a host, given by the hash of its ID, for a
// key. Each host has the highest score for a share of the keys that is proportional to its
// weight.
func score(key, hash uint64, weight float64) float64 {
	x := hash ^ key*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	const mantissa = 53
	uniform := (float64(x>>(64-mantissa)) + 0.5) / (1 << mantissa)
	return -weight / math.Log(uniform)
}
