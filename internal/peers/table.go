package peers

import (
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
	recordTimeout = 10 * time.Second
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
}

// NewTable returns a table that knows only this host. StoreHealthy reports whether
// this host reaches the store.
func NewTable(self Host, storeHealthy func() bool) *Table {
	return &Table{self: self, storeHealthy: storeHealthy, members: make(map[string]*member)}
}

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

// status returns what this host says of itself.
func (t *Table) status() (leaving, serving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leaving, t.serving && !t.leaving
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
	m.leaving, m.serving, m.storeLost, m.suspect = b.Leaving, b.Serving, b.StoreLost, false
	return true
}

// Suspect marks a host to which a call failed.
func (t *Table) Suspect(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[id]; m != nil {
		m.suspect = true
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
		if m.alive(now, timeout) && !m.storeLost {
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

// Serving returns the hosts that callers may be sent to, those of zone first.
func (t *Table) Serving(zone string) []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, timeout := boottime.Now(), t.timeoutLocked()
	var hosts []Host
	if t.serving && !t.leaving {
		hosts = append(hosts, t.self)
	}
	for _, m := range t.members {
		if m.serving && !m.leaving && m.alive(now, timeout) {
			hosts = append(hosts, m.host)
		}
	}
	sort.Slice(hosts, func(i, j int) bool {
		if near, other := hosts[i].Zone == zone, hosts[j].Zone == zone; near != other {
			return near
		}
		return hosts[i].ID < hosts[j].ID
	})
	return hosts
}

// Ranks of candidates; a lower one is tried first.
const (
	rankAlive = iota
	rankLeaving
	rankStoreLost
	rankSilent
)

// Candidates returns up to limit hosts that may be the home of key, the best first.
// The order is a rendezvous hash among the live hosts, then among the leaving ones and,
// in a partial outage of the store, those that do not reach it.
func (t *Table) Candidates(key uint64, limit int) []Host {
	type candidate struct {
		host   Host
		rank   int
		weight uint64
	}
	storeLost := !t.storeHealthy()
	t.mu.Lock()
	now, timeout := boottime.Now(), t.timeoutLocked()
	partial := t.partialOutageLocked(now, timeout, storeLost)
	list := make([]candidate, 0, len(t.members)+1)
	self := candidate{host: t.self, weight: weight(key, t.self.ID)}
	switch {
	case storeLost && partial:
		self.rank = rankStoreLost
	case t.leaving:
		self.rank = rankLeaving
	}
	list = append(list, self)
	for id, m := range t.members {
		c := candidate{host: m.host, weight: weight(key, id)}
		switch {
		case !m.alive(now, timeout):
			c.rank = rankSilent
		case m.storeLost && partial:
			c.rank = rankStoreLost
		case m.leaving:
			c.rank = rankLeaving
		}
		list = append(list, c)
	}
	t.mu.Unlock()
	sort.Slice(list, func(i, j int) bool {
		if list[i].rank != list[j].rank {
			return list[i].rank < list[j].rank
		}
		return list[i].weight > list[j].weight
	})
	hosts := make([]Host, 0, limit)
	for _, c := range list {
		if len(hosts) == limit || c.rank == rankSilent {
			break
		}
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
			if !m.storeLost {
				reach++
			}
		}
	}
	return 2*reach >= alive
}

// weight is the rendezvous weight of a host for a key.
func weight(key uint64, id string) uint64 {
	x := xxhash.Sum64String(id) ^ key*0x9e3779b97f4a7c15
	x ^= x >> 32
	x *= 0xd6e8feb86659fd93
	x ^= x >> 32
	return x
}
