package replica

import (
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/event"
)

// leavingLifetime is how long a replica without a record is remembered as leaving. Records that
// expired while the store was away come back within seconds of its return.
const leavingLifetime = 2 * time.Minute

var replicasLeaving = metrics.NewCounter("cowslipgw_replicas_leaving_total")

// leavingState is what this host knows of an incarnation that is about to end.
type leavingState struct {
	// told is set if an answer said so, rather than another host.
	told bool
	// confirmedAt is when the replica last said so or had a record.
	confirmedAt boottime.Instant
}

// isLeavingLocked reports whether an incarnation is about to end. It does not depend on the
// replica's record, which may say so later or be removed and read again.
func (s *Set) isLeavingLocked(r Record) bool { return s.leaving[r.Incarnation()] != nil }

// Leaving records that an answer of a replica says that it is about to end.
func (s *Set) Leaving(r Record) {
	if i := r.Incarnation(); s.addLeaving(i, true) && s.onLeaving != nil {
		go s.onLeaving([]Incarnation{i})
	}
}

// LearnLeaving records that another host was told by replicas that they are about to end.
func (s *Set) LearnLeaving(incarnations []Incarnation) {
	for _, i := range incarnations {
		s.addLeaving(i, false)
	}
}

// OnLeaving sets the function that is called when an answer is the first to say that a replica is
// about to end. It must be set before the set is used.
func (s *Set) OnLeaving(f func([]Incarnation)) { s.onLeaving = f }

// addLeaving adds an incarnation and reports whether it was unknown.
func (s *Set) addLeaving(i Incarnation, told bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known := s.leaving[i]; known != nil {
		known.told, known.confirmedAt = known.told || told, boottime.Now()
		return false
	}
	s.leaving[i] = &leavingState{told: told, confirmedAt: boottime.Now()}
	replicasLeaving.Inc()
	fields := event.Fields{"replica": i.ID, "told": told}
	if r := s.byID[i.ID]; r != nil {
		fields["service"], fields["draining"] = r.record.Service, r.record.Draining
	}
	s.events.Log(event.ReplicaLeaving, fields)
	return true
}

// ToldLeaving returns the replicas with a record that told this host that they are about to end,
// for hosts that have not heard of it.
func (s *Set) ToldLeaving() []Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	var told []Incarnation
	for i, state := range s.leaving {
		if r := s.byID[i.ID]; state.told && r != nil && r.record.Incarnation() == i {
			told = append(told, i)
		}
	}
	slices.SortFunc(told, func(a, b Incarnation) int { return strings.Compare(a.ID, b.ID) })
	return told
}

// sweepLeavingLocked forgets the incarnations that have ended.
func (s *Set) sweepLeavingLocked(now boottime.Instant) {
	for i, state := range s.leaving {
		if r := s.byID[i.ID]; r != nil && r.record.Incarnation() == i {
			state.confirmedAt = now
		}
		if now.Sub(state.confirmedAt) >= leavingLifetime {
			delete(s.leaving, i)
		}
	}
}
