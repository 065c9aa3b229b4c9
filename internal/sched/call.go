package sched

import (
	"slices"
	"time"

	"cowslipgw/internal/structs"
)

// Call is one call that waits for a replica or runs on one.
type Call struct {
	ID      structs.CallID
	Account structs.AccountID
	// Weight is the account's share in fair queueing; values up to 0 count as 1.
	Weight float64
	// Model is what the replica must have loaded; empty for any.
	Model string
	// Program is the opaque number of the program; 0 for a call without one.
	Program uint64
	// PromptTokens is the estimated prompt, MaxTokens the limit on the completion (0: none).
	PromptTokens, MaxTokens int64
	// Prefix is a hash of the prompt's shared first messages, 0 for none, and
	// PrefixTokens their length.
	Prefix       uint64
	PrefixTokens int64
	// Holders are the replicas that hold cache of the program, the latest first.
	Holders []structs.ReplicaID
	// Attained is the number of tokens that the root program was served so far.
	Attained int64
	// Exclude lists replicas that failed this call already.
	Exclude []structs.ReplicaID
	// Arrived is when the call was first queued; a call that is queued again keeps it.
	Arrived time.Duration
}

// excludes says whether the call must not run on the replica.
func (c *Call) excludes(id structs.ReplicaID) bool {
	return slices.Contains(c.Exclude, id)
}

// weight is the account's share, never 0.
func (c *Call) weight() float64 {
	if c.Weight <= 0 {
		return 1
	}
	return c.Weight
}
