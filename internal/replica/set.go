package replica

import (
	"sync"
	"time"

	"cowslipgw/internal/event"
)

// Set holds the replicas of all services. Its methods are safe for concurrent use.
type Set struct {
	zone   string
	events *event.Logger

	mu       sync.Mutex
	byID     map[string]*Replica
	services map[string][]*Replica
	usuals   map[string]*usual
}

// NewSet returns an empty set of a host in zone.
func NewSet(zone string, events *event.Logger) *Set {
	return &Set{zone: zone, events: events, byID: make(map[string]*Replica),
		services: make(map[string][]*Replica), usuals: make(map[string]*usual)}
}

// Put enters the present record of a replica.
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
		return
	}
	s.logChange(record, "present", true)
	s.byID[record.ID] = newReplica(record)
	s.indexLocked()
}

// Remove drops a replica whose record is gone, after grace. A record that comes back
// meanwhile keeps it.
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
	s.indexLocked()
}

// Retain marks all replicas that are not in ids for removal after grace.
func (s *Set) Retain(ids map[string]bool, grace time.Duration) {
	s.mu.Lock()
	var gone []string
	for id := range s.byID {
		if !ids[id] {
			gone = append(gone, id)
		}
	}
	s.mu.Unlock()
	for _, id := range gone {
		s.Remove(id, grace)
	}
}

// indexLocked builds the lists of the services anew.
func (s *Set) indexLocked() {
	s.services = make(map[string][]*Replica)
	for _, r := range s.byID {
		s.services[r.record.Service] = append(s.services[r.record.Service], r)
	}
}

func (s *Set) usualLocked(class string) *usual {
	u := s.usuals[class]
	if u == nil {
		u = &usual{}
		s.usuals[class] = u
	}
	return u
}

func (s *Set) logChange(r Record, what string, value bool) {
	s.events.Log(event.ReplicaChanged, event.Fields{"replica": r.ID, "service": r.Service, "addr": r.Addr, what: value})
}

func (s *Set) ejected(r Record, pause time.Duration) {
	s.events.Log(event.ReplicaEjected, event.Fields{"replica": r.ID, "service": r.Service, "pause_ms": pause.Milliseconds()})
}

// Postpone gives the replicas that wait for their removal the time anew: their records
// cannot come back while the store is away.
func (s *Set) Postpone(grace time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	until := time.Now().Add(grace)
	for _, r := range s.byID {
		if !r.removeAt.IsZero() {
			r.removeAt = until
		}
	}
}

// Sweep drops the replicas whose time without a record is over.
func (s *Set) Sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
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
		s.indexLocked()
	}
}
