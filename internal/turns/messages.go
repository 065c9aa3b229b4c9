package turns

// Outcome is a home's decision on a turn that is to begin.
type Outcome uint8

// The outcomes of Begin and Locate.
const (
	// Unavailable: the home cannot decide now.
	Unavailable Outcome = iota
	// Granted: the turn's tokens are reserved.
	Granted
	// Exhausted: the budget does not hold the turn.
	Exhausted
	// UnknownParent: the turn to continue is not in this partition.
	UnknownParent
	// ForeignParent: the turn to continue belongs to another client account.
	ForeignParent
	// Located: the turn was found.
	Located
)

// BeginArgs ask a home to let a turn begin.
type BeginArgs struct {
	Account string
	Program string
	Turn    string
	Parent  string
	// Budget is the number of tokens that the program may generate; 0 means no limit.
	Budget int
	// MaxTokens is the most that this turn generates.
	MaxTokens int
	// RetentionMS is how long the turn is kept after its end.
	RetentionMS int64
}

// BeginReply answers BeginArgs.
type BeginReply struct {
	Outcome Outcome
	// Chain is what the engine is to read before the new input.
	Chain []byte
	// Replica ran the parent.
	Replica string
	// Uncertain says with Unavailable that tokens may be reserved. The caller settles the
	// turn as failed, since only it knows that the turn does not run.
	Uncertain bool
}

// EndArgs settle a turn.
type EndArgs struct{ Turn Turn }

// EndReply answers EndArgs.
type EndReply struct{ Kept bool }

// LocateArgs ask whether a host holds a turn of an account.
type LocateArgs struct {
	Account string
	Turn    string
}

// LocateReply answers LocateArgs.
type LocateReply struct {
	Outcome Outcome
	Chain   []byte
	Replica string
	// Certain is a bit set of the partitions whose whole state the host has.
	Certain uint64
}

// ReleaseArgs ask the home named by Writer to grant no more ahead for a program.
type ReleaseArgs struct {
	Writer  int64
	Account string
	Program string
}

// ReleaseReply answers ReleaseArgs. Open holds the tokens of the turns that the home knows
// and the store may lack.
type ReleaseReply struct{ Open map[string]int }
