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
	// ErrCallEnded means that the call is not running: it was settled, or its host left
	// the view and the call was ended as unknown.
	ErrCallEnded = errors.New("call is not running")
	// ErrProgramNotFound means that there is no such program. A call that ends its program
	// finds this when its settlement is repeated.
	ErrProgramNotFound = errors.New("program not found")
	// ErrMalformedOp means that an operation does not fit the state. Replicas of one
	// partition differ then, which is a broken invariant.
	ErrMalformedOp = errors.New("operation does not fit the state")
)

// State is the deterministic state of one partition: programs, claims, pending
// releases and token buckets. The partition's lock guards it.
type State struct {
	id     partition.ID
	limits Limits
	// counter numbers programs and calls of this partition.
	counter uint64
	// lossyUntil is when the claims that the lost copies held have expired, in
	// nanoseconds since 1970; 0 if no copies were lost.
	lossyUntil int64
	// lossyAt is when they were lost, on the monotonic clock of the owner at that time.
	lossyAt     window
	roots       map[rootKey]*root
	claims      map[ClaimKey]*claim
	answerBytes int
	releases    map[structs.ReplicaID]map[uint64]struct{}
	numbers     map[uint64]Key
	buckets     account.Buckets
}

var _ partition.Machine = (*State)(nil)

// rootKey names a root program.
type rootKey struct {
	Account structs.AccountID
	Root    structs.ProgramID
}

// root is what a root program shares with its sub-agents.
type root struct {
	Started int64 `cbor:"1,keyasint"`
	// Used counts tokens that were spent or may have been, Reserved those of running
	// calls.
	Used     int64 `cbor:"2,keyasint,omitempty"`
	Reserved int64 `cbor:"3,keyasint,omitempty"`
	Calls    int64 `cbor:"4,keyasint,omitempty"`
	Attained int64 `cbor:"5,keyasint,omitempty"`
	// Ending is set when the root program ended while calls were running.
	Ending bool `cbor:"6,keyasint,omitempty"`
	// LastUse is when a call of the root or a sub-agent last began or ended.
	LastUse int64 `cbor:"7,keyasint"`

	programs map[structs.ProgramID]*state
}

// state is one program.
type state struct {
	Number  uint64              `cbor:"1,keyasint"`
	History []structs.Message   `cbor:"2,keyasint,omitempty"`
	Turn    int                 `cbor:"3,keyasint,omitempty"`
	Tokens  int64               `cbor:"4,keyasint,omitempty"`
	Running *call               `cbor:"5,keyasint,omitempty"`
	Last    structs.CallID      `cbor:"6,keyasint,omitempty"`
	Holders []structs.ReplicaID `cbor:"7,keyasint,omitempty"`
	LastUse int64               `cbor:"8,keyasint"`
	Window  window              `cbor:"9,keyasint"`
	// Ending programs are removed when the running call ends.
	Ending bool `cbor:"10,keyasint,omitempty"`
	// Lost says that the call Last was ended as unknown.
	Lost bool `cbor:"11,keyasint,omitempty"`
}

// call is the running call of a program.
type call struct {
	ID       structs.CallID    `cbor:"1,keyasint"`
	Origin   structs.Origin    `cbor:"2,keyasint"`
	Fence    uint64            `cbor:"3,keyasint"`
	Messages []structs.Message `cbor:"4,keyasint,omitempty"`
	Prompt   int64             `cbor:"5,keyasint,omitempty"`
	Reserved int64             `cbor:"6,keyasint,omitempty"`
	At       int64             `cbor:"7,keyasint"`
	// Attempt counts the attempts before this one, which count as spent.
	Attempt int `cbor:"8,keyasint,omitempty"`
}

// window is a time on the monotonic clock of Owner; another owner cannot compare it.
// A program's dispatch window is the time in which a host that left the view may still
// send a call; another owner restarts it.
type window struct {
	Owner structs.Origin `cbor:"1,keyasint"`
	Until time.Duration  `cbor:"2,keyasint,omitempty"`
}

// New returns the empty state of a partition.
func New(id partition.ID, limits Limits) *State {
	s := &State{id: id, limits: limits}
	s.clear()
	return s
}

// clear empties the state.
func (s *State) clear() {
	s.counter = 0
	s.lossyUntil = 0
	s.lossyAt = window{}
	s.answerBytes = 0
	s.roots = make(map[rootKey]*root)
	s.claims = make(map[ClaimKey]*claim)
	s.releases = make(map[structs.ReplicaID]map[uint64]struct{})
	s.numbers = make(map[uint64]Key)
	s.buckets = make(account.Buckets)
}

// Apply changes the state by one encoded operation.
func (s *State) Apply(data []byte) error {
	var op Op
	if err := decoding.Unmarshal(data, &op); err != nil {
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
	case op.Forget != nil:
		s.applyForget(op.Forget)
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
	case op.Lossy != nil:
		s.applyLossy(op.Lossy)
	case op.Bucket != nil:
		s.buckets.Apply(op.Bucket)
	default:
		return fmt.Errorf("empty operation: %w", ErrMalformedOp)
	}
	return nil
}

// find returns a program and its root, or nil.
func (s *State) find(key Key) (*root, *state) {
	r := s.roots[rootKey{key.Account, key.Root}]
	if r == nil {
		return nil, nil
	}
	return r, r.programs[key.Program]
}

// Empty reports whether the state holds nothing, so that it needs no checkpoint.
func (s *State) Empty() bool {
	return len(s.roots) == 0 && len(s.claims) == 0 && len(s.releases) == 0 &&
		len(s.buckets) == 0 && s.lossyUntil == 0 && s.counter == 0
}

// Live reports whether a program number belongs to a program of this state.
func (s *State) Live(number uint64) bool {
	_, live := s.numbers[number]
	return live
}

// PartitionOf returns the partition that a program number was given in.
func PartitionOf(number uint64) partition.ID {
	return partition.ID(number >> counterBits)
}

// FromMachine returns the state behind the machine that partition.Decide receives. A
// machine of another type is a broken invariant and panics.
func FromMachine(m partition.Machine) *State {
	s, ok := m.(*State)
	if !ok {
		panic(fmt.Sprintf("partition machine is a %T", m))
	}
	return s
}

// ID returns the partition.
func (s *State) ID() partition.ID {
	return s.id
}
