package bench

import (
	"time"

	"cowslipgw/internal/sched"
	"cowslipgw/internal/structs"
)

// baseline is a first-in, first-out policy with a simple choice of the replica. It
// has the same limit of calls in flight as the policy in use, and a call that
// cannot start does not block those behind it.
type baseline struct {
	limit   int
	choose  chooser
	queue   []*sched.Call
	running map[structs.CallID]structs.ReplicaID
	// inFlight counts own calls at each replica.
	inFlight map[structs.ReplicaID]int
}

// chooser picks the replica of a call among those with room, ordered by ID; nil
// when the call waits.
type chooser interface {
	choose(call *sched.Call, snapshot sched.Snapshot, room []*sched.Replica, inFlight map[structs.ReplicaID]int) *sched.Replica
}

func newBaseline(limit int, c chooser) *baseline {
	return &baseline{
		limit: limit, choose: c,
		running:  make(map[structs.CallID]structs.ReplicaID),
		inFlight: make(map[structs.ReplicaID]int),
	}
}

// Enqueue adds a waiting call.
func (b *baseline) Enqueue(call *sched.Call, _ time.Duration) { b.queue = append(b.queue, call) }

// Waiting counts the calls that wait.
func (b *baseline) Waiting() int { return len(b.queue) }

// Next takes the first waiting call that a replica can take.
func (b *baseline) Next(snapshot sched.Snapshot, _ time.Duration) (sched.Assignment, bool) {
	var room []*sched.Replica
	for i := range snapshot.Replicas {
		replica := &snapshot.Replicas[i]
		if !replica.Leaving && b.inFlight[replica.ID] < b.limit {
			room = append(room, replica)
		}
	}
	if len(room) == 0 {
		return sched.Assignment{}, false
	}
	for i, call := range b.queue {
		if chosen := b.choose.choose(call, snapshot, room, b.inFlight); chosen != nil {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			b.Adopt(call, chosen.ID, 0)
			return sched.Assignment{Call: call, Replica: chosen.ID}, true
		}
	}
	return sched.Assignment{}, false
}

// Adopt adds a call that runs already.
func (b *baseline) Adopt(call *sched.Call, replica structs.ReplicaID, _ time.Duration) {
	b.running[call.ID] = replica
	b.inFlight[replica]++
}

// Done ends a call in flight.
func (b *baseline) Done(id structs.CallID, _ sched.Finish, _ time.Duration) {
	replica, ok := b.running[id]
	if !ok {
		return
	}
	delete(b.running, id)
	b.inFlight[replica]--
}

// Cancel removes a waiting call.
func (b *baseline) Cancel(id structs.CallID) bool {
	for i, call := range b.queue {
		if call.ID == id {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			return true
		}
	}
	return false
}

// leastInFlight returns the replica with the fewest own calls.
func leastInFlight(room []*sched.Replica, inFlight map[structs.ReplicaID]int) *sched.Replica {
	best := room[0]
	for _, replica := range room[1:] {
		if inFlight[replica.ID] < inFlight[best.ID] {
			best = replica
		}
	}
	return best
}
