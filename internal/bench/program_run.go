package bench

import (
	"slices"
	"time"

	"cowslipgw/internal/structs"
)

// programRun is a program in progress.
type programRun struct {
	*program
	// root is the root program, the run itself for a root.
	root *programRun
	// ended is called when a sub-agent has ended.
	ended func()

	began, finished time.Duration
	// persons is the time spent waiting for persons.
	persons time.Duration
	// attained counts tokens served to a root and its sub-agents: prompt tokens computed
	// and tokens generated.
	attained int64
	// holders are the replicas with cache, the latest first, as the program's owner knows.
	holders []structs.ReplicaID
	// pending counts what the next call waits for: the pause and the sub-agents.
	pending int
	failed  bool
	over    bool
}

// held records that a replica holds the program's cache.
func (r *programRun) held(replica structs.ReplicaID) {
	r.dropHolder(replica)
	r.holders = slices.Insert(r.holders, 0, replica)
}

// dropHolder records that a replica no longer holds it.
func (r *programRun) dropHolder(replica structs.ReplicaID) {
	r.holders = slices.DeleteFunc(r.holders, func(id structs.ReplicaID) bool { return id == replica })
}

// latency is the end-to-end time without the waits for persons.
func (r *programRun) latency() time.Duration {
	return r.finished - r.began - r.persons
}

// callRun is one call in progress.
type callRun struct {
	id       structs.CallID
	sequence uint64
	run      *programRun
	turn     int
	host     int
	// tries counts refusals for the rate.
	tries int
	// asked is when the caller sent the call first, queued when the dispatcher got it
	// first.
	asked, queued time.Duration
	exclude       []structs.ReplicaID
	replica       int
	engine        *engineCall
	// closed is set when the call ended or its host died; late events are ignored then.
	closed bool
}
