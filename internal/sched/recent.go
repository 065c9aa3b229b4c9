package sched

import (
	"time"

	"cowslipgw/internal/structs"
)

// recent is a map that forgets what was not used for long: it keeps the entries
// used since the last two times that a generation filled up.
type recent[K comparable, V any] struct {
	limit             int
	current, previous map[K]V
}

func newRecent[K comparable, V any](limit int) *recent[K, V] {
	return &recent[K, V]{limit: limit, current: make(map[K]V)}
}

// get returns an entry.
func (r *recent[K, V]) get(key K) (V, bool) {
	if value, ok := r.current[key]; ok {
		return value, true
	}
	value, ok := r.previous[key]
	return value, ok
}

// put sets an entry.
func (r *recent[K, V]) put(key K, value V) {
	if len(r.current) >= r.limit {
		r.previous = r.current
		r.current = make(map[K]V)
	}
	r.current[key] = value
}

// home is the replica where a program ran last, and the tokens it has cached
// there.
type home struct {
	replica structs.ReplicaID
	tokens  int64
	// at is when a call of the program was last dispatched there or ended there.
	at time.Duration
}

// heldAt says whether the program's cache is still at the replica. A report that is
// newer than the program's last activity and does not list it means that the
// replica has evicted it.
func (h home) heldAt(program uint64, info *Replica) bool {
	if info.Programs == nil || info.ReportedAt <= h.at {
		return true
	}
	_, held := info.Programs[program]
	return held
}

const (
	// maxHomes bounds each generation of remembered programs; an entry takes about 100
	// bytes.
	maxHomes = 50_000
	// maxPrefixes bounds each generation of remembered pairs of prefix and replica.
	maxPrefixes = 10_000
)

// prefixPlace is a shared prefix at a replica.
type prefixPlace struct {
	prefix  uint64
	replica structs.ReplicaID
}

// prefixTable remembers which replicas have computed which shared prefixes.
type prefixTable struct {
	places *recent[prefixPlace, struct{}]
}

func (t prefixTable) has(prefix uint64, replica structs.ReplicaID) bool {
	_, ok := t.places.get(prefixPlace{prefix, replica})
	return ok
}

func (t prefixTable) add(prefix uint64, replica structs.ReplicaID) {
	t.places.put(prefixPlace{prefix, replica}, struct{}{})
}
