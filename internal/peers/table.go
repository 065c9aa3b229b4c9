package peers

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cowslipgw/internal/boottime"
)

const (
	// minInterval is the time between heartbeats in a small fleet.
	minInterval = 200 * time.Millisecond
	// intervalPerHost bounds what heartbeats cost in a large fleet: a host sends at most
	// 80 datagrams a second.
	intervalPerHost = 12500 * time.Microsecond
	// silentIntervals is how many heartbeats may be missing before a host counts as silent.
	silentIntervals = 3.5
	// recordTimeout is the age at which a record that is no longer renewed is dropped.
	recordTimeout = 40 * time.Second
)

// Table holds the known hosts. Its methods are safe for concurrent use.
type Table struct {
	self Host
	// storeHealthy reports whether this host reaches the store.
	storeHealthy func() bool

	mu      sync.Mutex
	members map[string]*member
	leaving bool
	serving bool
	// strained reports whether this host lacks processor time.
	strained func() bool
}

// NewTable returns a table that knows only this host. StoreHealthy reports whether
// this host reaches the store.
func NewTable(self Host, storeHealthy func() bool) *Table {
	return &Table{self: self, storeHealthy: storeHealthy, members: make(map[string]*member),
		strained: func() bool { return false }}
}

// SetStrained sets the function that reports whether this host lacks processor time. It
// must be called before the table is used.
func (t *Table) SetStrained(strained func() bool) { t.strained = strained }

// Self returns this host.
func (t *Table) Self() Host { return t.self }

// SetServing says whether callers may be sent to this host.
func (t *Table) SetServing(serving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.serving = serving
}

// SetLeaving marks this host as draining.
func (t *Table) SetLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = true
}

// condition returns what this host says of itself.
func (t *Table) condition() Condition {
	c := Condition{StoreLost: !t.storeHealthy(), Strained: t.strained()}
	t.mu.Lock()
	defer t.mu.Unlock()
	c.Leaving, c.Serving = t.leaving, t.serving && !t.leaving
	return c
}

// interval returns the time between heartbeats for a fleet of n hosts.
func interval(n int) time.Duration {
	return max(minInterval, time.Duration(n)*intervalPerHost)
}

// Interval returns the present time between heartbeats.
func (t *Table) Interval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return interval(len(t.members) + 1)
}

// timeoutLocked is the silence, in nanoseconds, after which a host counts as silent.
func (t *Table) timeoutLocked() int64 {
	return int64(silentIntervals * float64(interval(len(t.members)+1)))
}

// Record enters a host that was read from the store.
func (t *Table) Record(h Host) {
	if h.ID == t.self.ID {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[h.ID]
	if m == nil || m.host.Incarnation < h.Incarnation {
		m = &member{host: h}
		t.members[h.ID] = m
	}
	m.recorded = boottime.Now()
}

// Expire drops the hosts whose record was not renewed and that send no heartbeats.
// The caller calls it only while it reads the store without gaps.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := boottime.Now()
	for id, m := range t.members {
		if now.Sub(m.recorded) > recordTimeout && now.Sub(m.heard) > recordTimeout {
			delete(t.members, id)
		}
	}
}

// Heard enters a heartbeat. It reports false for one of an earlier incarnation.
func (t *Table) Heard(b Heartbeat) bool {
	if b.Host.ID == t.self.ID {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.members[b.Host.ID]
	if m != nil && m.host.Incarnation > b.Host.Incarnation {
		return false
	}
	if m == nil || m.host.Incarnation < b.Host.Incarnation {
		m = &member{host: b.Host, recorded: boottime.Now()}
		t.members[b.Host.ID] = m
	}
	m.heard = boottime.Now()
	m.Condition = b.Condition
	m.clear(m.heard)
	return true
}

// Suspect marks a host to which a call failed.
func (t *Table) Suspect(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[id]; m != nil {
		m.raise(boottime.Now())
	}
}

// Others returns all other known hosts in the order of their IDs.
func (t *Table) Others() []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	hosts := make([]Host, 0, len(t.members))
	for _, m := range t.members {
		hosts = append(hosts, m.host)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID < hosts[j].ID })
	return hosts
}

// Counts returns the number of known hosts and of those alive, this one included.
func (t *Table) Counts() (known, alive int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, timeout := boottime.Now(), t.timeoutLocked()
	alive = 1
	for _, m := range t.members {
		if m.alive(now, timeout) {
			alive++
		}
	}
	return len(t.members) + 1, alive
}

// StoreElsewhere reports whether another live host reaches the store.
func (t *Table) StoreElsewhere() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, timeout := boottime.Now(), t.timeoutLocked()
	for _, m := range t.members {
		if m.alive(now, timeout) && !m.StoreLost {
			return true
		}
	}
	return false
}

// Known returns the number of known hosts, this one included.
func (t *Table) Known() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.members) + 1
}

// Ranks of candidates; a lower one is tried first.
const (
	rankAlive = iota
	rankStrained
	rankLeaving
	rankStoreLost
)

// rank returns the rank of a host in this condition. Partial says that most hosts reach the
// store.
func (c Condition) rank(partial bool) int {
	switch {
	case c.StoreLost && partial:
		return rankStoreLost
	case c.Leaving:
		return rankLeaving
	case c.Strained:
		return rankStrained
	default:
		return rankAlive
	}
}

// candidate is a host with its order for a key.
type candidate struct {
	host  Host
	rank  int
	score float64
}

// Candidates returns up to limit hosts that may be the home of key, the best first.
// The order is a rendezvous hash among the live hosts, weighted by their processor time,
// then among the strained and the leaving ones and, in a partial outage of the store,
// those that do not reach it.
func (t *Table) Candidates(key uint64, limit int) []Host {
	own := t.condition()
	t.mu.Lock()
	now, timeout := boottime.Now(), t.timeoutLocked()
	partial := t.partialOutageLocked(now, timeout, own.StoreLost)
	list := make([]candidate, 0, len(t.members)+1)
	list = append(list, candidate{t.self, own.rank(partial), score(key, t.self)})
	for _, m := range t.members {
		if m.alive(now, timeout) {
			list = append(list, candidate{m.host, m.rank(partial), score(key, m.host)})
		}
	}
	t.mu.Unlock()
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.score, a.score))
	})
	hosts := make([]Host, 0, min(limit, len(list)))
	for _, c := range list[:min(limit, len(list))] {
		hosts = append(hosts, c.host)
	}
	return hosts
}

// partialOutageLocked reports whether at least half of the live hosts reach the store.
// When fewer do, homes stay: the store is down or comes back, which hosts notice one
// after the other, and each move would read partitions anew.
func (t *Table) partialOutageLocked(now boottime.Instant, timeout int64, selfLost bool) bool {
	reach, alive := 0, 1
	if !selfLost {
		reach = 1
	}
	for _, m := range t.members {
		if m.alive(now, timeout) {
			alive++
			if !m.StoreLost {
				reach++
			}
		}
	}
	return 2*reach >= alive
}

// score is the weighted rendezvous score of a host for a key: a host is first for a part
// of the keys that is proportional to its weight.
func score(key uint64, h Host) float64 {
	x := xxhash.Sum64String(h.ID) ^ key*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	const mantissa = 53
	uniform := (float64(x>>(64-mantissa)) + 0.5) / (1 << mantissa)
	return -h.weight() / math.Log(uniform)
}
