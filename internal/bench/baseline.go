package bench

import (
	"time"

	"cowslipgw/internal/sched"
	"cowslipgw/internal/structs"
)

// baseline is a first-in, first-out policy with a simple choice of the replica. It
// has the same limit of calls in flight as the production policy, and a call that
// cannot start does not block the calls behind it.
type baseline struct {
	limit   int
	chooser chooser
	queue   []*sched.Call
	running map[structs.CallID]structs.ReplicaID
	// inFlight counts the calls that this policy has in flight at each replica.
	inFlight map[structs.ReplicaID]int
}

// chooser selects a replica for a call from candidates with free capacity, ordered by
// ID. It returns nil if the call has to wait.
type chooser interface {
	choose(call *sched.Call, snapshot sched.Snapshot, candidates []*sched.Replica, inFlight map[structs.ReplicaID]int) *sched.Replica
}

func newBaseline(limit int, c chooser) *baseline {
	return &baseline{
		limit: limit, chooser: c,
		running:  make(map[structs.CallID]structs.ReplicaID),
		inFlight: make(map[structs.ReplicaID]int),
	}
}

// Enqueue adds a waiting call.
func (b *baseline) Enqueue(call *sched.Call, _ time.Duration) { b.queue = append(b.queue, call) }

// Waiting returns the number of waiting calls.
func (b *baseline) Waiting() int { return len(b.queue) }

// Next assigns the first waiting call that a replica can accept.
func (b *baseline) Next(snapshot sched.Snapshot, _ time.Duration) (sched.Assignment, bool) {
	var candidates []*sched.Replica
	for i := range snapshot.Replicas {
		replica := &snapshot.Replicas[i]
		if !replica.Leaving && b.inFlight[replica.ID] < b.limit {
			candidates = append(candidates, replica)
		}
	}
	if len(candidates) == 0 {
		return sched.Assignment{}, false
	}
	for i, call := range b.queue {
		if chosen := b.chooser.choose(call, snapshot, candidates, b.inFlight); chosen != nil {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			b.Adopt(call, chosen.ID, 0)
			return sched.Assignment{Call: call, Replica: chosen.ID}, true
		}
	}
	return sched.Assignment{}, false
}

// Adopt registers a call that is already running.
func (b *baseline) Adopt(call *sched.Call, replica structs.ReplicaID, _ time.Duration) {
	b.running[call.ID] = replica
	b.inFlight[replica]++
}

// Done removes a call in flight.
func (b *baseline) Done(id structs.CallID, _ sched.CallResult, _ time.Duration) {
	replica, ok := b.running[id]
	if !ok {
		return
	}
	delete(b.running, id)
	b.inFlight[replica]--
}

// Cancel removes a waiting call and reports whether there was one.
func (b *baseline) Cancel(id structs.CallID) bool {
	for i, call := range b.queue {
		if call.ID == id {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			return true
		}
	}
	return false
}

// leastInFlight returns the candidate with the fewest of the policy's calls in
// flight.
func leastInFlight(candidates []*sched.Replica, inFlight map[structs.ReplicaID]int) *sched.Replica {
	best := candidates[0]
	for _, replica := range candidates[1:] {
		if inFlight[replica.ID] < inFlight[best.ID] {
			best = replica
		}
	}
	return best
}
