package sched

import (
	"strings"
	"time"

	"cowslipgw/internal/structs"
)

// Policy decides for one pool. Times are measured from any fixed moment. A Policy
// is not safe for concurrent use.
type Policy interface {
	// Enqueue adds a waiting call.
	Enqueue(call *Call, now time.Duration)
	// Next takes one waiting call and gives it a replica; false when no waiting call
	// can start now.
	Next(snapshot Snapshot, now time.Duration) (Assignment, bool)
	// Done ends a call that Next or Adopt started.
	Done(id structs.CallID, finish Finish, now time.Duration)
	// Cancel removes a waiting call; false when it does not wait.
	Cancel(id structs.CallID) bool
	// Adopt adds a call that runs already, as when a dispatcher takes over a pool.
	Adopt(call *Call, replica structs.ReplicaID, now time.Duration)
	// Waiting counts the calls that wait.
	Waiting() int
}

// Assignment is one decision.
type Assignment struct {
	Call    *Call
	Replica structs.ReplicaID
}

// Finish is what is known of a call that ended.
type Finish struct {
	// Answered says that the whole answer arrived; the other fields are valid then.
	Answered bool
	// PromptTokens includes CachedTokens.
	PromptTokens, CachedTokens, CompletionTokens int64
	// FirstToken is the time from dispatch to the first token, Total to the last one.
	FirstToken, Total time.Duration
}

// interToken is the mean time between tokens; 0 if the call has too few of them.
func (f Finish) interToken() time.Duration {
	if f.CompletionTokens < minObservedTokens || f.Total <= f.FirstToken {
		return 0
	}
	return (f.Total - f.FirstToken) / time.Duration(f.CompletionTokens-1)
}

// minObservedTokens is the length of the shortest completion that says something
// about the time between tokens.
const minObservedTokens = 8

func compareID(a, b structs.ReplicaID) int {
	return strings.Compare(string(a), string(b))
}
