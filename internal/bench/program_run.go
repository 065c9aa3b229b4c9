package bench

import (
	"slices"
	"time"

	"cowslipgw/internal/structs"
)

// programRun is the execution of a program.
type programRun struct {
	*program
	// root is the root program's run; a root points to itself.
	root *programRun
	// onEnd is called when a sub-agent ends; it is nil for a root.
	onEnd func()

	startedAt, finishedAt time.Duration
	// userWait is the time spent waiting for users.
	userWait time.Duration
	// attained is the service that a root and its sub-agents have received, in prompt
	// tokens computed plus tokens generated.
	attained int64
	// holders are the replicas that hold the program's cache according to its owner,
	// the most recent first.
	holders []structs.ReplicaID
	// pending counts the events that the next call waits for: the pause and the
	// sub-agents.
	pending int
	failed  bool
	over    bool
}

// addHolder records that a replica holds the program's cache.
func (r *programRun) addHolder(replica structs.ReplicaID) {
	r.dropHolder(replica)
	r.holders = slices.Insert(r.holders, 0, replica)
}

// dropHolder records that a replica no longer holds the program's cache.
func (r *programRun) dropHolder(replica structs.ReplicaID) {
	r.holders = slices.DeleteFunc(r.holders, func(id structs.ReplicaID) bool { return id == replica })
}

// latency returns the end-to-end time without the waits for users.
func (r *programRun) latency() time.Duration {
	return r.finishedAt - r.startedAt - r.userWait
}

// callRun is one call in progress.
type callRun struct {
	id       structs.CallID
	sequence uint64
	run      *programRun
	turn     int
	host     int
	// refusals counts how often the rate limiter refused the call.
	refusals int
	// sentAt is when the caller first sent the call; queuedAt is when the dispatcher
	// first received it.
	sentAt, queuedAt time.Duration
	exclude          []structs.ReplicaID
	replica          int
	engine           *engineCall
	// closed is set when the call ends or its host dies. Later events of the call are
	// ignored.
	closed bool
}
