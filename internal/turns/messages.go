package turns

import "time"

// Outcome is an owner's decision on a request to begin or locate a turn.
type Outcome uint8

// The outcomes of Begin and Locate.
const (
	// Unavailable: the owner cannot decide at present.
	Unavailable Outcome = iota
	// Granted: the turn's tokens are reserved.
	Granted
	// Exhausted: the remaining budget is too small for the turn.
	Exhausted
	// UnknownParent: the parent turn is not in this partition.
	UnknownParent
	// ForeignParent: the parent turn belongs to another client account.
	ForeignParent
	// Located: the turn was found.
	Located
	// HistoryTooLong: the history is longer than hosts pass on.
	HistoryTooLong
	// NoRoom: the host that asked has no memory for the history. Owners do not reply with it.
	NoRoom
)

// BeginArgs requests that an owner begin a turn.
type BeginArgs struct {
	Account string
	Program string
	// Session names the sequence of turns within the program.
	Session string
	Turn    string
	Parent  string
	// Budget is the number of tokens that the program may generate; 0 means no limit.
	Budget int
	// MaxTokens is the maximum number of tokens that this turn generates.
	MaxTokens int
	// RetentionMS is how long the turn is retained after its end, in milliseconds.
	RetentionMS int64
	// WaitMS is how long the caller waits for the reply, in milliseconds; 0 in calls of hosts
	// that do not say so.
	WaitMS int64
	// MaxChain is the number of bytes of the history that the reply may contain; 0 means all of
	// it, as hosts of earlier builds need.
	MaxChain int
	// PreallocatedOnly is set if the turn may begin only within a preallocation that the owner
	// holds. The owner replies at once, with Granted or Unavailable, and does not use the store.
	// Hosts of earlier builds decide as for other calls.
	PreallocatedOnly bool
}

// turn returns the turn that is to begin.
func (a *BeginArgs) turn() Turn {
	return Turn{ID: a.Turn, Parent: a.Parent, Account: a.Account, Program: a.Program, State: Open, Tokens: a.MaxTokens,
		Expiry: time.Now().UnixMilli() + a.RetentionMS, offset: -1}
}

// BeginReply is the response to BeginArgs.
type BeginReply struct {
	Outcome Outcome
	// Chain is the beginning of the history that the engine reads before the new input, and
	// ChainBytes the length of the whole; 0 in replies of earlier builds, which contain all of
	// it. HistoryArgs requests the rest.
	Chain      []byte
	ChainBytes int
	// Replica is the replica that ran the parent or, without one, the session's last turn.
	Replica string
	// Detached is set if the parent belongs to another program, which may expire earlier. The
	// caller stores Chain as part of the turn's input and no parent, as for a parent in
	// another partition. Hosts of earlier builds store the parent.
	Detached bool
	// Uncertain is set if the turn is not granted and tokens may be reserved nonetheless.
	// The caller must settle the turn as failed, since only the caller can tell that the
	// turn does not run.
	Uncertain bool
	// Granter identifies the owner if it granted the turn from its preallocation, without a record of the turn; 0
	// otherwise, and in replies of earlier builds. The turn's settlement repeats it.
	Granter int64
	// RetryMS is set if Outcome is Exhausted, the budget may hold the turn nonetheless, and it is not known yet what other
	// owners have granted: the time in milliseconds after which the turn may be begun again. Hosts of earlier
	// builds do not set it.
	RetryMS int64
	// First is set if no other turn of the program has run or is open, as far as the owner knows.
	// Hosts of earlier builds do not set it.
	First bool
}

// EndArgs requests that an owner settle a turn.
type EndArgs struct {
	Turn Turn
	// WaitMS is how long the caller waits for the reply, in milliseconds; 0 in calls of hosts
	// that do not say so.
	WaitMS int64
}

// EndReply is the response to EndArgs.
type EndReply struct {
	// Kept reports whether the turn is stored.
	Kept bool
	// Rejected is set if the store accepts the turn at no time. It cannot be continued.
	Rejected bool
}

// LocateArgs asks a host whether it has a turn of an account.
type LocateArgs struct {
	Account string
	Turn    string
	// WaitMS is how long the caller waits for the reply, in milliseconds; 0 in calls of hosts
	// that do not say so.
	WaitMS int64
	// MaxChain is the same as in BeginArgs.
	MaxChain int
}

// LocateReply is the response to LocateArgs. Chain and ChainBytes are the same as in BeginReply.
type LocateReply struct {
	Outcome    Outcome
	Chain      []byte
	ChainBytes int
	Replica    string
	// Certain is a bit set of the partitions whose complete state the host has read.
	Certain uint64
}

// HistoryArgs requests a part of the history of a turn that the owner has reported.
type HistoryArgs struct {
	Account string
	Turn    string
	// From is the offset of the part in the history, and Limit its maximum length, in bytes.
	From, Limit int
	WaitMS      int64
}

// HistoryReply is the response to HistoryArgs. Without Found the owner has the history no more.
type HistoryReply struct {
	Found bool
	Chain []byte
}

// KeepOutcome is the result of a request to keep a copy of a grant.
type KeepOutcome uint8

// The values of KeepOutcome.
const (
	// KeepFailed: the backup did not reply, or is another run of its host. It may have the copy.
	KeepFailed KeepOutcome = iota
	// Kept: the backup has the copy.
	Kept
	// KeepRefused: the next owner has read the copies, and the preallocation has ended.
	KeepRefused
)

// KeepArgs requests that a backup keep a copy of a turn that the owner identified by Writer is about to
// grant without a record.
type KeepArgs struct {
	Backup, Writer         int64
	Account, Program, Turn string
	Tokens                 int
}

// KeepReply is the response to KeepArgs.
type KeepReply struct{ Kept bool }

// SealArgs requests the copies of the grants of the owner identified by Writer, and that no further ones be
// accepted.
type SealArgs struct {
	Backup, Writer   int64
	Account, Program string
}

// SealReply is the response to SealArgs. Open holds the turns that were granted, some of which may be
// settled since, with their tokens.
type SealReply struct{ Open map[string]int }

// ReleaseArgs requests that the owner identified by Writer stop granting preallocated
// tokens for a program.
type ReleaseArgs struct {
	Writer  int64
	Account string
	Program string
}

// ReleaseReply is the response to ReleaseArgs. Open holds the turns that the owner has granted
// and that may be missing from the store, with their tokens.
type ReleaseReply struct{ Open map[string]int }
