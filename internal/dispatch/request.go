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
	// Weight is the account's share in fair queueing.
	Weight float64
	// Program is the opaque number of the program; 0 for a call without one.
	Program uint64
	Call    structs.CallID
	Origin  structs.Origin
	// PromptTokens is the estimated prompt, MaxTokens the limit on the completion.
	PromptTokens, MaxTokens int64
	// Prefix is a hash of the prompt's first messages, shared by programs with the same
	// system prompt; 0 for none.
	Prefix uint64
	// PrefixTokens is the length of those first messages.
	PrefixTokens int64
	// Holders are the replicas that hold cache of the program, the latest first.
	Holders []structs.ReplicaID
	// Attained is the number of tokens that the root program was served so far.
	Attained int64
	// Exclude lists replicas that failed this call already.
	Exclude []structs.ReplicaID
	// Waited is how long the call has waited already, as at an earlier dispatcher. It
	// keeps the call's place in the order.
	Waited time.Duration
}
