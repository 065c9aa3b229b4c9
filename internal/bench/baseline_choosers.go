package bench

import (
	"slices"

	"cowslipgw/internal/sched"
	"cowslipgw/internal/structs"
)

// roundRobin takes the replicas in turn.
type roundRobin struct {
	last structs.ReplicaID
}

func (r *roundRobin) choose(call *sched.Call, _ sched.Snapshot, room []*sched.Replica, _ map[structs.ReplicaID]int) *sched.Replica {
	allowed := withoutExcluded(call, room)
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

// leastReported takes the replica with the least reported load, then the fewest own
// calls in flight.
type leastReported struct{}

func (leastReported) choose(call *sched.Call, _ sched.Snapshot, room []*sched.Replica, inFlight map[structs.ReplicaID]int) *sched.Replica {
	var best *sched.Replica
	load := func(r *sched.Replica) int { return (r.Running+r.Queued)*1000 + inFlight[r.ID] }
	for _, replica := range withoutExcluded(call, room) {
		if best == nil || load(replica) < load(best) {
			best = replica
		}
	}
	return best
}

// sticky keeps a program on its replica. A new program goes to the replica with the
// fewest own calls. With spill, a call whose replica is full goes elsewhere, and the
// program stays there; without, it waits.
type sticky struct {
	spill bool
	homes map[uint64]structs.ReplicaID
}

func newSticky(spill bool) *sticky {
	return &sticky{spill: spill, homes: make(map[uint64]structs.ReplicaID)}
}

func (s *sticky) choose(call *sched.Call, snapshot sched.Snapshot, room []*sched.Replica, inFlight map[structs.ReplicaID]int) *sched.Replica {
	home, known := s.homes[call.Program]
	if !known && len(call.Holders) > 0 {
		home, known = call.Holders[0], true
	}
	allowed := withoutExcluded(call, room)
	for _, replica := range allowed {
		if known && replica.ID == home {
			return replica
		}
	}
	if len(allowed) == 0 || (known && !s.spill && s.alive(call, snapshot, home)) {
		return nil
	}
	chosen := leastInFlight(allowed, inFlight)
	s.homes[call.Program] = chosen.ID
	return chosen
}

// alive says whether the call may still wait for its home.
func (s *sticky) alive(call *sched.Call, snapshot sched.Snapshot, home structs.ReplicaID) bool {
	if slices.Contains(call.Exclude, home) {
		return false
	}
	for i := range snapshot.Replicas {
		if snapshot.Replicas[i].ID == home {
			return !snapshot.Replicas[i].Leaving
		}
	}
	return false
}

// withoutExcluded drops the replicas that failed the call already.
func withoutExcluded(call *sched.Call, room []*sched.Replica) []*sched.Replica {
	if len(call.Exclude) == 0 {
		return room
	}
	return slices.DeleteFunc(slices.Clone(room), func(r *sched.Replica) bool {
		return slices.Contains(call.Exclude, r.ID)
	})
}
