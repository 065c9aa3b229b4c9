package sched

import (
	"strings"
	"time"

	"cowslipgw/internal/structs"
)

// Policy schedules the calls of one pool. All times are offsets from an arbitrary
// fixed point. A Policy is not safe for concurrent use.
type Policy interface {
	// Enqueue adds a waiting call.
	Enqueue(call *Call, now time.Duration)
	// Next dequeues one waiting call and assigns it a replica. It returns false if
	// no waiting call can start now.
	Next(snapshot Snapshot, now time.Duration) (Assignment, bool)
	// Done ends a call started by Next or Adopt.
	Done(id structs.CallID, result CallResult, now time.Duration)
	// Cancel removes a waiting call. It returns false if the call is not waiting.
	Cancel(id structs.CallID) bool
	// Adopt records a call that is already running, for example when a dispatcher
	// takes over a pool.
	Adopt(call *Call, replica structs.ReplicaID, now time.Duration)
	// Waiting returns the number of waiting calls.
	Waiting() int
}

// Assignment assigns a call to a replica.
type Assignment struct {
	Call    *Call
	Replica structs.ReplicaID
}

// CallResult is the result of a call that has ended.
type CallResult struct {
	// Answered reports whether the complete answer arrived. The other fields are
	// valid only if it did.
	Answered bool
	// PromptTokens includes CachedTokens.
	PromptTokens, CachedTokens, CompletionTokens int64
	// FirstToken and Total are the times from dispatch to the first and to the last
	// token.
	FirstToken, Total time.Duration
}

// interToken returns the mean time between tokens, or 0 if the completion is too
// short to tell.
func (r CallResult) interToken() time.Duration {
	if r.CompletionTokens < minObservedTokens || r.Total <= r.FirstToken {
		return 0
	}
	return (r.Total - r.FirstToken) / time.Duration(r.CompletionTokens-1)
}

// minObservedTokens is the length of the shortest completion from which the time
// between tokens is estimated.
const minObservedTokens = 8

func compareID(a, b structs.ReplicaID) int {
	return strings.Compare(string(a), string(b))
}
