package dispatch

import (
	"time"

	"cowslipgw/internal/structs"
)

// Request asks for a slot on a replica of a pool.
type Request struct {
	Pool    structs.PoolName
	Model   string
	Account structs.AccountID
	// Weight is the account's weight in fair queueing.
	Weight float64
	// Program is the program's opaque number, or 0 if the call belongs to no
	// program.
	Program uint64
	Call    structs.CallID
	Origin  structs.Origin
	// PromptTokens is the estimated prompt length. MaxTokens limits the completion.
	PromptTokens, MaxTokens int64
	// Prefix is a hash of the prompt's first messages, which programs with the same
	// system prompt share, or 0 if there are none.
	Prefix uint64
	// PrefixTokens is the length of those messages.
	PrefixTokens int64
	// Holders lists the replicas with cached state of the program, most recent
	// first.
	Holders []structs.ReplicaID
	// Attained is the service that the root program has received so far, in tokens.
	Attained int64
	// Exclude lists the replicas on which this call has already failed.
	Exclude []structs.ReplicaID
	// Waited is the time that the call has already waited, for example at an earlier
	// dispatcher. It preserves the call's rank in the queue.
	Waited time.Duration
}
