package replica

import (
	"sync"
	"time"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/event"
)

// Set holds the replicas of all services. Its methods are safe for concurrent use.
type Set struct {
	domain string
	// regions holds the region of each failure domain.
	regions map[string]string
	events  *event.Logger
	// onLimit is called without the mutex; nil for none.
	onLimit func(record Record, perSecond float64)
	// onLeaving is called without the mutex; nil for none.
	onLeaving func([]Incarnation)
	// onCold is called without the mutex; nil for none.
	onCold func(i Incarnation, remaining time.Duration)

	mu        sync.Mutex
	byID      map[string]*Replica
	services  map[string][]*Replica
	baselines map[string]*baseline
	// classes counts the attempts in flight of this host.
	classes map[serviceClass]int
	// sizes holds the sizes of requests by service.
	sizes map[string]*sizes
	// lengths holds what classes of requests have shown, and demands the requests of services.
	lengths map[string]*lengths
	demands map[string]*demand
	// affinities holds what affinity keys gain, by class.
	affinities map[string]*affinity
	// coordinateAll is set if the hosts coordinate what they send to all services.
	coordinateAll bool
	// paced holds the services whose replicas have reported a pace.
	paced map[string]bool
	// fleet holds the load of services that their owners report.
	fleet map[string]fleetLoad
	// leaving holds the incarnations that are about to end.
	leaving map[Incarnation]*leavingState
	// evacuated holds the failure domains whose replicas get no requests.
	evacuated map[string]*evacuatedDomain
	// returned holds the offset of the record that ended the last evacuation of each domain.
	returned map[string]int64
	// coldRates and coldTimes hold the rate that the replicas of a service accept while cold, and for
	// how long they are. A service without a rate has no cold replicas.
	coldRates map[string]float64
	coldTimes map[string]time.Duration
}

// NewSet returns an empty set for a host in the given failure domain.
func NewSet(domain string, events *event.Logger) *Set {
	return &Set{domain: domain, events: events, byID: make(map[string]*Replica),
		services: make(map[string][]*Replica), baselines: make(map[string]*baseline),
		classes: make(map[serviceClass]int), sizes: make(map[string]*sizes), lengths: make(map[string]*lengths),
		demands: make(map[string]*demand), affinities: make(map[string]*affinity), paced: make(map[string]bool), fleet: make(map[string]fleetLoad),
		leaving: make(map[Incarnation]*leavingState), evacuated: make(map[string]*evacuatedDomain),
		returned: make(map[string]int64)}
}

// Put adds a replica or updates its record. A record of another incarnation, address or
// service replaces the replica and its statistics.
func (s *Set) Put(record Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.byID[record.ID]
	if old != nil && old.record.Born == record.Born && old.record.Addr == record.Addr && old.record.Service == record.Service {
		if old.record.Draining != record.Draining {
			s.logChange(record, "draining", record.Draining)
		}
		old.record = record
		old.removeAt = time.Time{}
		s.coldFromRecordLocked(old, time.Now())
		return
	}
	s.logChange(record, "present", true)
	added := newReplica(record)
	s.byID[record.ID] = added
	s.coldFromRecordLocked(added, time.Now())
	s.rebuildIndexLocked()
}

// Remove removes a replica whose record has disappeared, after a grace period or, if that is
// 0, immediately. A record that reappears in the meantime cancels the removal.
func (s *Set) Remove(id string, grace time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.byID[id]
	if r == nil {
		return
	}
	if grace > 0 {
		if r.removeAt.IsZero() {
			r.removeAt = time.Now().Add(grace)
		}
		return
	}
	s.logChange(r.record, "present", false)
	delete(s.byID, id)
	s.rebuildIndexLocked()
}

// Retain schedules all replicas that are not in ids for removal after a grace period.
func (s *Set) Retain(ids map[string]bool, grace time.Duration) {
	s.mu.Lock()
	var missing []string
	for id := range s.byID {
		if !ids[id] {
			missing = append(missing, id)
		}
	}
	s.mu.Unlock()
	for _, id := range missing {
		s.Remove(id, grace)
	}
}

// rebuildIndexLocked rebuilds the lists of replicas by service.
func (s *Set) rebuildIndexLocked() {
	s.services = make(map[string][]*Replica)
	for _, r := range s.byID {
		s.services[r.record.Service] = append(s.services[r.record.Service], r)
	}
}

func (s *Set) baselineLocked(class string) *baseline {
	u := s.baselines[class]
	if u == nil {
		u = &baseline{}
		s.baselines[class] = u
	}
	return u
}

func (s *Set) logChange(r Record, what string, value bool) {
	s.events.Log(event.ReplicaChanged, event.Fields{"replica": r.ID, "service": r.Service, "addr": r.Addr, what: value})
}

func (s *Set) logEjection(r Record, pause time.Duration) {
	s.events.Log(event.ReplicaEjected, event.Fields{"replica": r.ID, "service": r.Service, "pause_ms": pause.Milliseconds()})
}

// RestartGrace restarts the grace period of all replicas that are scheduled for removal. It is
// used while the store is unavailable, because no record can reappear then.
func (s *Set) RestartGrace(grace time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := time.Now().Add(grace)
	for _, r := range s.byID {
		if !r.removeAt.IsZero() {
			r.removeAt = until
		}
	}
}

// Sweep removes the replicas whose grace period is over.
func (s *Set) Sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweepLeavingLocked(boottime.Now())
	s.sweepEvacuatedLocked(boottime.Now())
	now := time.Now()
	changed := false
	for id, r := range s.byID {
		if !r.removeAt.IsZero() && now.After(r.removeAt) {
			s.logChange(r.record, "present", false)
			delete(s.byID, id)
			changed = true
		}
	}
	if changed {
		s.rebuildIndexLocked()
	}
}

// Usable returns the record of an incarnation of a replica. It reports false if there is none or
// the replica gets no new requests.
func (s *Set) Usable(id string, incarnation int64) (Record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.byID[id]
	if r == nil || r.record.Born != incarnation || !s.feasible(r, Query{}, time.Now()) {
		return Record{}, false
	}
	return r.record, true
}
