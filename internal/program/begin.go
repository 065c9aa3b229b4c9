package program

import (
	"time"

	"cowslipgw/internal/structs"
)

// BeginRequest asks the owner to begin the next call of a program.
type BeginRequest struct {
	Key    Key
	Call   structs.CallID
	Origin structs.Origin
	// Depth is 1 for a root program and grows by one for each parent.
	Depth int
	// Messages are the new messages of this turn.
	Messages []structs.Message
	// MaxTokens is the largest number of completion tokens that the call may cost. The
	// owner adds its estimate of the prompt and reserves the sum.
	MaxTokens int64
	// Budget is what the account's plan allows a program.
	Budget structs.Budget
	// Attempt counts the replicas to which the call may have been sent before. Each of
	// them may cost the call's largest cost, so a further attempt reserves it again.
	Attempt int
	// Waited is how long ago the entry host first asked. A new owner restores the order
	// of the calls that waited at its predecessor by it.
	Waited time.Duration
	// Now is the owner's time; the owner sets it.
	Now time.Time
}

// BeginResult is the owner's answer. Exactly one of Problem and the rest is set.
type BeginResult struct {
	Problem *structs.Problem
	// History holds all messages of the program, the new ones last.
	History []structs.Message
	// Turn counts the calls of the program, from 1.
	Turn int
	// Number is an opaque number of the program for upstreams, unique over the fleet.
	Number uint64
	// Holders are the replicas that hold cache of the program, the latest first.
	Holders []structs.ReplicaID
	// Attained is the number of tokens that the root program was served so far.
	Attained int64
	// PromptTokens is the estimate that was reserved for the prompt.
	PromptTokens int64
	// WallLeft is how long the program may still run under its budget; 0 if that is not
	// limited.
	WallLeft time.Duration
	// Fence is the fencing number of the call for upstreams that check it.
	Fence uint64
}
