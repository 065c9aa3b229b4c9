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
	// minInterval is the interval between heartbeats in a small fleet.
	minInterval = 200 * time.Millisecond
	// intervalPerHost limits the cost of heartbeats in a large fleet: the interval grows
	// with the number of hosts, so that a host sends at most 80 datagrams a second.
	intervalPerHost = 12500 * time.Microsecond
	// maxMissedHeartbeats is the number of heartbeat intervals without a heartbeat after
	// which a host is no longer alive.
	maxMissedHeartbeats = 3.5
	// recordTimeout is the age at which a record that is not renewed expires.
	recordTimeout = 40 * time.Second
)

// Table holds the known hosts and their state. Its methods are safe for concurrent use.
type Table struct {
	self Host
	// storeHealthy reports whether this host reaches the store.
	storeHealthy func() bool

	mu      sync.Mutex
	members map[string]*member
	leaving bool
	serving bool
	// overloaded reports whether this host lacks processor time.
	overloaded func() bool
}

// NewTable returns a table that contains only this host. The function storeHealthy reports
// whether this host reaches the store.
func NewTable(self Host, storeHealthy func() bool) *Table {
	return &Table{self: self, storeHealthy: storeHealthy, members: make(map[string]*member),
		overloaded: func() bool { return false }}
}

// SetOverloaded sets the function that reports whether this host lacks processor time. It
// must be called before the table is used.
func (t *Table) SetOverloaded(overloaded func() bool) { t.overloaded = overloaded }

// Self returns this host.
func (t *Table) Self() Host { return t.self }

// SetServing sets whether callers may be sent to this host.
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

// condition returns the condition that this host reports in its heartbeats.
func (t *Table) condition() Condition {
	c := Condition{StoreLost: !t.storeHealthy(), Overloaded: t.overloaded()}
	t.mu.Lock()
	defer t.mu.Unlock()
	c.Leaving, c.Serving = t.leaving, t.serving && !t.leaving
	return c
}

// interval returns the heartbeat interval of a fleet of n hosts.
func interval(n int) time.Duration {
	return max(minInterval, time.Duration(n)*intervalPerHost)
}

// Interval returns the current heartbeat interval.
func (t *Table) Interval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return interval(len(t.members) + 1)
}

// timeoutLocked returns the time in nanoseconds without a heartbeat after which a host is
// no longer alive.
func (t *Table) timeoutLocked() int64 {
	return int64(maxMissedHeartbeats * float64(interval(len(t.members)+1)))
}

// HandleRecord adds a host whose record was read from the store, or renews its record. The
// record of an earlier incarnation does not replace a later one.
func (t *Table) HandleRecord(h Host) {
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
	m.lastRecord = boottime.Now()
}

// Expire removes the hosts whose record has expired and that send no heartbeats. It must
// only be called while the store is read without gaps; otherwise it removes hosts whose
// renewals were not read.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := boottime.Now()
	for id, m := range t.members {
		if now.Sub(m.lastRecord) > recordTimeout && now.Sub(m.lastHeartbeat) > recordTimeout {
			delete(t.members, id)
		}
	}
}

// HandleHeartbeat updates the table with a heartbeat. It returns false and ignores the
// heartbeat if it is from this host or from an earlier incarnation.
func (t *Table) HandleHeartbeat(b Heartbeat) bool {
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
		m = &member{host: b.Host, lastRecord: boottime.Now()}
		t.members[b.Host.ID] = m
	}
	m.lastHeartbeat = boottime.Now()
	m.Condition = b.Condition
	m.heartbeatReceived(m.lastHeartbeat)
	return true
}

// Suspect marks a host as suspect after a call to it failed.
func (t *Table) Suspect(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[id]; m != nil {
		m.callFailed(boottime.Now())
	}
}

// Others returns all other known hosts, sorted by ID.
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

// Counts returns the number of known hosts and of live hosts, including this one.
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

// StoreReachableElsewhere reports whether another live host reaches the store.
func (t *Table) StoreReachableElsewhere() bool {
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

// Known returns the number of known hosts, including this one.
func (t *Table) Known() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.members) + 1
}

// Ranks of candidates. Hosts with a lower rank are preferred.
const (
	rankAlive = iota
	rankOverloaded
	rankLeaving
	rankStoreLost
)

// rank returns the rank of a host in this condition. partialOutage is the result of
// partialOutageLocked: hosts that cannot reach the store rank last only if at least half of
// the live hosts reach it.
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

// candidate is a host with its sort order for a key.
type candidate struct {
	host  Host
	rank  int
	score float64
}

// Candidates returns up to limit hosts that may own key, in order of preference. Live hosts
// are ordered by rendezvous hashing, weighted by processor time. Overloaded hosts come after
// all others, then leaving hosts, and then, in a partial outage of the store, the hosts that
// cannot reach it.
func (t *Table) Candidates(key uint64, limit int) []Host {
	own := t.condition()
	t.mu.Lock()
	now, timeout := boottime.Now(), t.timeoutLocked()
	partialOutage := t.partialOutageLocked(now, timeout, own.StoreLost)
	list := make([]candidate, 0, len(t.members)+1)
	list = append(list, candidate{t.self, own.rank(partialOutage), score(key, t.self)})
	for _, m := range t.members {
		if m.alive(now, timeout) {
			list = append(list, candidate{m.host, m.rank(partialOutage), score(key, m.host)})
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

// partialOutageLocked reports whether at least half of the live hosts reach the store. If
// fewer do, owners do not change: the store is down, or it is recovering and hosts notice
// that one after the other, and each change of an owner would load partitions again.
func (t *Table) partialOutageLocked(now boottime.Instant, timeout int64, selfLost bool) bool {
	reachable, alive := 0, 1
	if !selfLost {
		reachable = 1
	}
	for _, m := range t.members {
		if m.alive(now, timeout) {
			alive++
			if !m.StoreLost {
				reachable++
			}
		}
	}
	return 2*reachable >= alive
}

// score returns the weighted rendezvous score of a host for a key. Each host has the highest
// score for a share of the keys that is proportional to its weight.
func score(key uint64, h Host) float64 {
	x := xxhash.Sum64String(h.ID) ^ key*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	const mantissa = 53
	uniform := (float64(x>>(64-mantissa)) + 0.5) / (1 << mantissa)
	return -h.weight() / math.Log(uniform)
}
