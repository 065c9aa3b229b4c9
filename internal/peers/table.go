package peers

import (
	"sort"
	"sync"
	"time"

	"cowslipgw/internal/boottime"
)

// recordTimeout is the age at which a record that is not renewed expires.
const recordTimeout = 40 * time.Second

// Table holds the known hosts and their state. Each host sends its heartbeats to a few
// watchers, which announce to all when they no longer hear it, so that the cost of a host
// and the time to detect its loss do not grow with the fleet. The methods are safe for
// concurrent use.
type Table struct {
	self Host
	// storeHealthy reports whether this host reaches the store.
	storeHealthy func() bool
	// overloaded reports whether this host lacks processor time.
	overloaded func() bool
	// stranded reports whether this host has lost its links to all replicas.
	stranded func() bool
	now      func() boottime.Instant

	mu      sync.Mutex
	members map[string]*member
	// ring holds the members in the order of their positions; nil after a change.
	ring []*member
	// view is nil after a change of a host's condition.
	view    *view
	leaving bool
	serving bool
	// lastHeard is when the last message of any host arrived. Isolated is set if that is so
	// long ago that this host must be cut off from all others.
	lastHeard boottime.Instant
	isolated  bool
	// judgeFrom is the end of this host's last pause; silence before it says nothing about
	// other hosts.
	judgeFrom boottime.Instant
	// missingCount is the number of watched hosts that are missing.
	missingCount int
	sending      announcements
}

// NewTable returns a table that contains only this host. The function storeHealthy reports
// whether this host reaches the store.
func NewTable(self Host, storeHealthy func() bool) *Table {
	return &Table{self: self, storeHealthy: storeHealthy, members: make(map[string]*member),
		overloaded: func() bool { return false }, stranded: func() bool { return false }, now: boottime.Now}
}

// SetOverloaded sets the function that reports whether this host lacks processor time. It
// must be called before the table is used.
func (t *Table) SetOverloaded(overloaded func() bool) { t.overloaded = overloaded }

// SetStranded sets the function that reports whether this host has lost its links to all
// replicas. It must be called before the table is used.
func (t *Table) SetStranded(stranded func() bool) { t.stranded = stranded }

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
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conditionLocked()
}

func (t *Table) conditionLocked() Condition {
	return Condition{StoreLost: !t.storeHealthy(), Overloaded: t.overloaded(), Stranded: t.stranded(), Leaving: t.leaving,
		Serving: t.serving && !t.leaving}
}

// HandleRecord adds a host whose record was read from the store, or renews its record. The
// record of an earlier incarnation does not replace a later one.
func (t *Table) HandleRecord(h Host) {
	if h.ID == t.self.ID {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	m := t.members[h.ID]
	if m == nil || m.host.Incarnation < h.Incarnation {
		m = newMember(h, now)
		t.members[h.ID] = m
		t.ring, t.view = nil, nil
	}
	m.lastRecord = now
}

// Expire removes the hosts whose record has expired and that were not heard for as long. It
// must only be called while the store is read without gaps; otherwise it removes hosts whose
// renewals were not read.
func (t *Table) Expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for id, m := range t.members {
		if now.Sub(m.lastRecord) > recordTimeout && now.Sub(m.lastHeartbeat) > recordTimeout {
			delete(t.members, id)
			t.ring, t.view = nil, nil
		}
	}
}

// Suspect marks a host as suspect after a call to it failed.
func (t *Table) Suspect(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.members[id]; m != nil {
		m.callFailed(t.now())
		t.view = nil
	}
}

// Others returns all other known hosts, sorted by ID.
func (t *Table) Others() []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	hosts := t.allLocked()
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID < hosts[j].ID })
	return hosts
}

// aliveLocked reports whether a member counts as alive; none does while this host is isolated.
func (t *Table) aliveLocked(m *member) bool { return !t.isolated && m.alive() }

// Counts returns the number of known hosts and of live hosts, including this one.
func (t *Table) Counts() (known, alive int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.members) + 1, len(t.viewLocked().hosts)
}

// StoreReachableElsewhere reports whether another live host reaches the store.
func (t *Table) StoreReachableElsewhere() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range t.members {
		if t.aliveLocked(m) && !m.StoreLost {
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
