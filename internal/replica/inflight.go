package replica

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ServiceLoad is what this host has in flight at one service.
type ServiceLoad struct {
	Service string
	// Classes counts the attempts by class, and Replicas by replica.
	Classes  map[string]int
	Replicas map[Incarnation]int
}

// serviceClass identifies a class of requests of one service.
type serviceClass struct{ service, class string }

// Hash returns a short identity of the incarnation for reports between hosts.
func (i Incarnation) Hash() uint32 {
	return uint32(xxhash.Sum64String(i.ID + "\x00" + strconv.FormatInt(i.Born, 10)))
}

// NameHash returns the hash of the name of a service or route for reports between hosts.
func NameHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// InFlight returns what this host has in flight at each service, for a report to the owners of the
// services. The totals that they send are taken to contain it.
func (s *Set) InFlight() []ServiceLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	loads := make([]ServiceLoad, 0, len(s.services))
	for service, replicas := range s.services {
		load := ServiceLoad{Service: service, Classes: make(map[string]int), Replicas: make(map[Incarnation]int)}
		for _, r := range replicas {
			r.reportedInflight = r.inflight
			if r.inflight > 0 {
				load.Replicas[r.record.Incarnation()] = r.inflight
			}
		}
		for key, n := range s.classes {
			if key.service == service {
				load.Classes[key.class] = n
			}
		}
		loads = append(loads, load)
	}
	return loads
}

// CoordinateAll sets that the hosts coordinate what they send to all services. It must be called before
// the set is used.
func (s *Set) CoordinateAll() { s.coordinateAll = true }

// Coordinated reports whether the hosts coordinate what they send to a service: all of them, or those
// whose replicas say how long work takes there at present, since they share their machines with
// others and what they can do varies.
func (s *Set) Coordinated(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.coordinateAll || s.paced[service]
}

// CoordinatedInFlight is InFlight without the services that are not coordinated.
func (s *Set) CoordinatedInFlight() []ServiceLoad {
	loads := s.InFlight()
	return slices.DeleteFunc(loads, func(l ServiceLoad) bool { return !s.Coordinated(l.Service) })
}

// Slots returns the number of requests that the usable replicas of a service run at the same time.
func (s *Set) Slots(service string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	slots := 0
	for _, r := range s.services[service] {
		if s.feasible(r, Query{}, now) && !r.ejected(now) {
			slots += r.record.Slots
		}
	}
	return slots
}

// countClassLocked adds n to the attempts in flight of a class.
func (s *Set) countClassLocked(service, class string, n int) {
	key := serviceClass{service, class}
	if s.classes[key] += n; s.classes[key] <= 0 {
		delete(s.classes, key)
	}
}
