package sched

import (
	"slices"
	"time"

	"cowslipgw/internal/structs"
)

// Call is a call that waits for a replica or runs on one.
type Call struct {
	ID      structs.CallID
	Account structs.AccountID
	// Weight is the account's weight in fair queueing; values of 0 or less count as
	// 1.
	Weight float64
	// Model is the model that the replica must have loaded. If it is empty, any
	// replica will do.
	Model string
	// Program is the program's opaque number, or 0 if the call belongs to no
	// program.
	Program uint64
	// PromptTokens is the estimated prompt length. MaxTokens limits the completion;
	// 0 means no limit.
	PromptTokens, MaxTokens int64
	// Prefix is a hash of the first messages that the prompt shares with other
	// programs, or 0 if there are none. PrefixTokens is their length.
	Prefix       uint64
	PrefixTokens int64
	// Holders lists the replicas with cached state of the program, most recent
	// first.
	Holders []structs.ReplicaID
	// Attained is the service that the root program has received so far, in tokens.
	Attained int64
	// Exclude lists the replicas on which this call has already failed.
	Exclude []structs.ReplicaID
	// Arrived is the time at which the call was first queued. Queueing it again does
	// not change it.
	Arrived time.Duration
}

// excludes reports whether the call must not run on the replica.
func (c *Call) excludes(id structs.ReplicaID) bool {
	return slices.Contains(c.Exclude, id)
}

// weight returns the account's weight, which is always positive.
func (c *Call) weight() float64 {
	if c.Weight <= 0 {
		return 1
	}
	return c.Weight
}
