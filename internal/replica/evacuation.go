package replica

import (
	"errors"
	"maps"
	"slices"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/event"
)

// ErrEvacuated is returned for a replica in a failure domain that is evacuated.
var ErrEvacuated = errors.New("replica is in an evacuated failure domain")

// evacuatedDomain is a failure domain whose replicas get no requests.
type evacuatedDomain struct {
	// offset is that of the operator's record, and since the time at which this host learned of it.
	offset int64
	since  boottime.Instant
	// emptyLogged is set once it was logged that none of this host's attempts is left there.
	emptyLogged bool
}

// SetEvacuated sets the evacuated failure domains and the offsets of the operator's records. Returned
// holds the offsets of the records that ended evacuations, of which this host may have missed the
// beginning. Attempts in flight in an evacuated domain are left to end by themselves.
func (s *Set) SetEvacuated(domains, returned map[string]int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := boottime.Now()
	for _, domain := range slices.Sorted(maps.Keys(domains)) {
		if old := s.evacuated[domain]; old != nil {
			old.offset = domains[domain]
			continue
		}
		s.evacuated[domain] = &evacuatedDomain{offset: domains[domain], since: now}
		s.events.Log(event.EvacuationBegan, event.Fields{"zone": domain, "offset": domains[domain], "in_flight": s.inFlightLocked(domain)})
	}
	for domain, old := range s.evacuated {
		if _, still := domains[domain]; still {
			continue
		}
		delete(s.evacuated, domain)
		s.events.Log(event.EvacuationEnded, event.Fields{"zone": domain, "offset": old.offset,
			"evacuated_ms": now.Sub(old.since).Milliseconds(), "in_flight": s.inFlightLocked(domain)})
		s.coldAfterReturnLocked(domain)
	}
	for domain, offset := range returned {
		if last, known := s.returned[domain]; known && offset <= last {
			continue
		}
		s.returned[domain] = offset
		s.coldAfterReturnLocked(domain)
	}
}

// isEvacuatedLocked reports whether a replica must get no requests because its failure domain is
// evacuated.
func (s *Set) isEvacuatedLocked(r Record) bool { return s.evacuated[r.Domain] != nil }

// CheckSend returns an error if no request may reach a replica at this moment, whenever it was
// chosen.
func (s *Set) CheckSend(r Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isEvacuatedLocked(r) {
		return ErrEvacuated
	}
	return nil
}

// inFlightLocked returns the number of this host's attempts in flight in a failure domain.
func (s *Set) inFlightLocked(domain string) int {
	n := 0
	for _, r := range s.byID {
		if r.record.Domain == domain {
			n += r.inflight
		}
	}
	return n
}

// sweepEvacuatedLocked logs when the last of this host's attempts in an evacuated domain has ended.
func (s *Set) sweepEvacuatedLocked(now boottime.Instant) {
	for domain, e := range s.evacuated {
		if !e.emptyLogged && s.inFlightLocked(domain) == 0 {
			e.emptyLogged = true
			s.events.Log(event.EvacuationDrained, event.Fields{"zone": domain, "evacuated_ms": now.Sub(e.since).Milliseconds()})
		}
	}
}

// Evacuation is what this host knows of an evacuated failure domain.
type Evacuation struct {
	// Seconds is the time since this host learned of it, and InFlight the number of this host's
	// attempts there.
	Seconds  float64
	InFlight int
}

// Evacuations returns the evacuated failure domains.
func (s *Set) Evacuations() map[string]Evacuation {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := make(map[string]Evacuation, len(s.evacuated))
	for domain, e := range s.evacuated {
		found[domain] = Evacuation{Seconds: boottime.Since(e.since).Seconds(), InFlight: s.inFlightLocked(domain)}
	}
	return found
}
