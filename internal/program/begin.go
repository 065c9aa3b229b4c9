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
	// Depth is 1 for a root program and increases by one per parent.
	Depth int
	// Messages are the new messages of this turn.
	Messages []structs.Message
	// MaxTokens is the maximum number of completion tokens that the call may cost. The
	// owner adds its estimate of the prompt and reserves the sum.
	MaxTokens int64
	// Budget is the per-program limit of the account's plan.
	Budget structs.Budget
	// Attempt is the number of replicas to which the call may have been sent before.
	// Each of them may incur the call's maximum cost, so a further attempt reserves
	// that cost again.
	Attempt int
	// Waited is the time since the entry host first sent the request. A new owner uses
	// it to restore the order of the calls that were waiting at its predecessor.
	Waited time.Duration
	// Now is the owner's time; the owner sets it.
	Now time.Time
}

// BeginResult is the owner's answer. Either Problem or the remaining fields are set.
type BeginResult struct {
	Problem *structs.Problem
	// History holds all messages of the program, the new ones last.
	History []structs.Message
	// Turn is the number of the call within the program, starting at 1.
	Turn int
	// Number identifies the program to upstreams. It is opaque and unique in the fleet.
	Number uint64
	// Holders are the replicas that hold cache of the program, the most recent first.
	Holders []structs.ReplicaID
	// Attained is the number of tokens that the root program has been served so far.
	Attained int64
	// PromptTokens is the estimate that was reserved for the prompt.
	PromptTokens int64
	// WallLeft is how long the program may still run under its budget, or 0 if its wall
	// time is not limited.
	WallLeft time.Duration
	// Fence is the call's fencing token, for upstreams that check it.
	Fence uint64
}
