package program

import (
	"errors"
	"fmt"
	"time"

	"cowslipgw/internal/account"
	"cowslipgw/internal/partition"
	"cowslipgw/internal/structs"
)

var (
	// ErrCallEnded means that the call is not running: it was settled, or it was ended
	// with an unknown outcome because its host left the view.
	ErrCallEnded = errors.New("call is not running")
	// ErrProgramNotFound means that the program does not exist. A repeated settlement
	// of a call that ended its program gets this error.
	ErrProgramNotFound = errors.New("program not found")
	// ErrMalformedOp means that an operation does not match the state. The replicas of
	// the partition have then diverged, which violates an invariant.
	ErrMalformedOp = errors.New("operation does not fit the state")
)

// State is the deterministic state of one partition: programs, claims, pending releases
// and token buckets. It is guarded by the partition's lock.
type State struct {
	id     partition.ID
	limits Limits
	// counter numbers the programs and calls of this partition.
	counter uint64
	// dataLossUntil is the time at which the claims that were lost with the copies
	// would have expired, in nanoseconds since 1970; 0 if no copies were lost.
	dataLossUntil int64
	// dataLossAt is the time of the loss, on the clock of the owner at that time.
	dataLossAt  ownerTime
	roots       map[rootKey]*rootProgram
	claims      map[ClaimKey]*claim
	answerBytes int
	releases    map[structs.ReplicaID]map[uint64]struct{}
	numbers     map[uint64]Key
	buckets     account.Buckets
}

var _ partition.StateMachine = (*State)(nil)

// rootKey identifies a root program.
type rootKey struct {
	Account structs.AccountID
	Root    structs.ProgramID
}

// rootProgram is the state that a root program shares with its sub-agents.
type rootProgram struct {
	Started int64 `cbor:"1,keyasint"`
	// Used counts the tokens that were or may have been spent; Reserved counts those
	// reserved by running calls.
	Used     int64 `cbor:"2,keyasint,omitempty"`
	Reserved int64 `cbor:"3,keyasint,omitempty"`
	Calls    int64 `cbor:"4,keyasint,omitempty"`
	Attained int64 `cbor:"5,keyasint,omitempty"`
	// Ending is set when the root program ended while calls were running.
	Ending bool `cbor:"6,keyasint,omitempty"`
	// LastUse is the last time at which a call of the root or a sub-agent began or
	// ended.
	LastUse int64 `cbor:"7,keyasint"`

	programs map[structs.ProgramID]*programState
}

// programState is the state of one program.
type programState struct {
	Number   uint64              `cbor:"1,keyasint"`
	History  []structs.Message   `cbor:"2,keyasint,omitempty"`
	Turn     int                 `cbor:"3,keyasint,omitempty"`
	Tokens   int64               `cbor:"4,keyasint,omitempty"`
	Running  *runningCall        `cbor:"5,keyasint,omitempty"`
	LastCall structs.CallID      `cbor:"6,keyasint,omitempty"`
	Holders  []structs.ReplicaID `cbor:"7,keyasint,omitempty"`
	LastUse  int64               `cbor:"8,keyasint"`
	Window   ownerTime           `cbor:"9,keyasint"`
	// Ending is set on a program that is removed when its running call ends.
	Ending bool `cbor:"10,keyasint,omitempty"`
	// LastUnknown means that the call LastCall was ended with an unknown outcome.
	LastUnknown bool `cbor:"11,keyasint,omitempty"`
}

// runningCall is the running call of a program.
type runningCall struct {
	ID       structs.CallID    `cbor:"1,keyasint"`
	Origin   structs.Origin    `cbor:"2,keyasint"`
	Fence    uint64            `cbor:"3,keyasint"`
	Messages []structs.Message `cbor:"4,keyasint,omitempty"`
	Prompt   int64             `cbor:"5,keyasint,omitempty"`
	Reserved int64             `cbor:"6,keyasint,omitempty"`
	At       int64             `cbor:"7,keyasint"`
	// Attempt is the number of earlier attempts, whose reservations count as spent.
	Attempt int `cbor:"8,keyasint,omitempty"`
}

// ownerTime is a time on the monotonic clock of Owner; other owners cannot compare it.
// As the end of a program's dispatch window, it bounds the time in which a host that
// left the view may still send a call; a new owner restarts the window.
type ownerTime struct {
	Owner     structs.Origin `cbor:"1,keyasint"`
	Monotonic time.Duration  `cbor:"2,keyasint,omitempty"`
}

// New returns the empty state of a partition.
func New(id partition.ID, limits Limits) *State {
	s := &State{id: id, limits: limits}
	s.clear()
	return s
}

func (s *State) clear() {
	s.counter = 0
	s.dataLossUntil = 0
	s.dataLossAt = ownerTime{}
	s.answerBytes = 0
	s.roots = make(map[rootKey]*rootProgram)
	s.claims = make(map[ClaimKey]*claim)
	s.releases = make(map[structs.ReplicaID]map[uint64]struct{})
	s.numbers = make(map[uint64]Key)
	s.buckets = make(account.Buckets)
}

// Apply executes one encoded operation.
func (s *State) Apply(data []byte) error {
	var op Op
	if err := decMode.Unmarshal(data, &op); err != nil {
		return fmt.Errorf("decode operation: %w", err)
	}
	switch {
	case op.Begin != nil:
		return s.applyBegin(op.Begin)
	case op.Settle != nil:
		return s.applySettle(op.Settle)
	case op.End != nil:
		s.applyEnd(op.End.Key)
	case op.Abandon != nil:
		return s.applyAbandon(op.Abandon)
	case op.ReleaseMemory != nil:
		s.applyReleaseMemory(op.ReleaseMemory)
	case op.Released != nil:
		s.applyReleased(op.Released)
	case op.Expire != nil:
		s.applyExpire(op.Expire)
	case op.Attempt != nil:
		return s.applyAttempt(op.Attempt)
	case op.Window != nil:
		s.applyWindow(op.Window)
	case op.Open != nil:
		s.applyOpen(op.Open)
	case op.Close != nil:
		return s.applyClose(op.Close)
	case op.DataLoss != nil:
		s.applyDataLoss(op.DataLoss)
	case op.Bucket != nil:
		s.buckets.Apply(op.Bucket)
	default:
		return fmt.Errorf("empty operation: %w", ErrMalformedOp)
	}
	return nil
}

// find returns a program and its root; each is nil if it does not exist.
func (s *State) find(key Key) (*rootProgram, *programState) {
	r := s.roots[rootKey{key.Account, key.Root}]
	if r == nil {
		return nil, nil
	}
	return r, r.programs[key.Program]
}

// Empty reports whether the state holds nothing and therefore needs no checkpoint.
func (s *State) Empty() bool {
	return len(s.roots) == 0 && len(s.claims) == 0 && len(s.releases) == 0 &&
		len(s.buckets) == 0 && s.dataLossUntil == 0 && s.counter == 0
}

// Live reports whether the program number belongs to a program of this state.
func (s *State) Live(number uint64) bool {
	_, live := s.numbers[number]
	return live
}

// PartitionOf returns the partition that assigned the program number.
func PartitionOf(number uint64) partition.ID {
	return partition.ID(number >> counterBits)
}

// FromStateMachine returns the State behind the machine that a partition.Decide
// function receives. It panics if the machine has another type, which violates an
// invariant.
func FromStateMachine(m partition.StateMachine) *State {
	s, ok := m.(*State)
	if !ok {
		panic(fmt.Sprintf("partition state machine is a %T, want *program.State", m))
	}
	return s
}

// ID returns the ID of the partition.
func (s *State) ID() partition.ID {
	return s.id
}
