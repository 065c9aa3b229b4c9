package bench

import (
	"slices"

	"cowslipgw/internal/sched"
	"cowslipgw/internal/structs"
)

// roundRobin cycles through the replicas.
type roundRobin struct {
	last structs.ReplicaID
}

func (r *roundRobin) choose(call *sched.Call, _ sched.Snapshot, candidates []*sched.Replica, _ map[structs.ReplicaID]int) *sched.Replica {
	allowed := withoutExcluded(call, candidates)
	if len(allowed) == 0 {
		return nil
	}
	chosen := allowed[0]
	for _, replica := range allowed {
		if replica.ID > r.last {
			chosen = replica
			break
		}
	}
	r.last = chosen.ID
	return chosen
}

// leastReportedLoad chooses the replica with the least reported load. It breaks ties
// by the policy's own calls in flight.
type leastReportedLoad struct{}

func (leastReportedLoad) choose(call *sched.Call, _ sched.Snapshot, candidates []*sched.Replica, inFlight map[structs.ReplicaID]int) *sched.Replica {
	var best *sched.Replica
	load := func(r *sched.Replica) int { return (r.Running+r.Queued)*1000 + inFlight[r.ID] }
	for _, replica := range withoutExcluded(call, candidates) {
		if best == nil || load(replica) < load(best) {
			best = replica
		}
	}
	return best
}

// sticky keeps a program on its replica. A new program goes to the replica with the
// fewest calls in flight. If the replica is full, a call waits; with spill it goes
// elsewhere, and the program stays there.
type sticky struct {
	spill    bool
	assigned map[uint64]structs.ReplicaID
}

func newSticky(spill bool) *sticky {
	return &sticky{spill: spill, assigned: make(map[uint64]structs.ReplicaID)}
}

func (s *sticky) choose(call *sched.Call, snapshot sched.Snapshot, candidates []*sched.Replica, inFlight map[structs.ReplicaID]int) *sched.Replica {
	assigned, known := s.assigned[call.Program]
	if !known && len(call.Holders) > 0 {
		assigned, known = call.Holders[0], true
	}
	allowed := withoutExcluded(call, candidates)
	for _, replica := range allowed {
		if known && replica.ID == assigned {
			return replica
		}
	}
	if len(allowed) == 0 || (known && !s.spill && s.mayWait(call, snapshot, assigned)) {
		return nil
	}
	chosen := leastInFlight(allowed, inFlight)
	s.assigned[call.Program] = chosen.ID
	return chosen
}

// mayWait reports whether the call may wait for its program's replica, which must be
// live and must not have failed the call.
func (s *sticky) mayWait(call *sched.Call, snapshot sched.Snapshot, replica structs.ReplicaID) bool {
	if slices.Contains(call.Exclude, replica) {
		return false
	}
	for i := range snapshot.Replicas {
		if snapshot.Replicas[i].ID == replica {
			return !snapshot.Replicas[i].Leaving
		}
	}
	return false
}

// withoutExcluded returns the candidates that have not failed the call.
func withoutExcluded(call *sched.Call, candidates []*sched.Replica) []*sched.Replica {
	if len(call.Exclude) == 0 {
		return candidates
	}
	return slices.DeleteFunc(slices.Clone(candidates), func(r *sched.Replica) bool {
		return slices.Contains(call.Exclude, r.ID)
	})
}
