package program

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"cowslipgw/internal/account"
	"cowslipgw/internal/structs"
)

// Op is one operation on a partition's state. Exactly one field is set. An operation
// contains every value that depends on a clock, a limit or the view, so that Apply
// depends only on the state and the operation.
type Op struct {
	Begin         *beginOp          `cbor:"1,keyasint,omitempty"`
	Settle        *settleOp         `cbor:"2,keyasint,omitempty"`
	End           *endOp            `cbor:"3,keyasint,omitempty"`
	Abandon       *abandonOp        `cbor:"4,keyasint,omitempty"`
	ReleaseMemory *releaseMemoryOp  `cbor:"5,keyasint,omitempty"`
	Released      *releasedOp       `cbor:"6,keyasint,omitempty"`
	Expire        *expireOp         `cbor:"7,keyasint,omitempty"`
	Window        *windowOp         `cbor:"8,keyasint,omitempty"`
	Open          *openOp           `cbor:"9,keyasint,omitempty"`
	Close         *closeOp          `cbor:"10,keyasint,omitempty"`
	DataLoss      *dataLossOp       `cbor:"11,keyasint,omitempty"`
	Bucket        *account.BucketOp `cbor:"12,keyasint,omitempty"`
	Attempt       *attemptOp        `cbor:"13,keyasint,omitempty"`
}

type beginOp struct {
	Key      Key               `cbor:"1,keyasint"`
	Call     structs.CallID    `cbor:"2,keyasint"`
	Origin   structs.Origin    `cbor:"3,keyasint"`
	Depth    int               `cbor:"4,keyasint,omitempty"`
	Messages []structs.Message `cbor:"5,keyasint,omitempty"`
	// Number is the program's number and Counter is the state's counter after the
	// operation.
	Number   uint64 `cbor:"6,keyasint"`
	Fence    uint64 `cbor:"7,keyasint"`
	Counter  uint64 `cbor:"8,keyasint"`
	Prompt   int64  `cbor:"9,keyasint,omitempty"`
	Reserved int64  `cbor:"10,keyasint,omitempty"`
	At       int64  `cbor:"11,keyasint"`
}

// attemptOp reserves the cost of a call again, for an attempt at another replica.
type attemptOp struct {
	Key     Key            `cbor:"1,keyasint"`
	Call    structs.CallID `cbor:"2,keyasint"`
	Attempt int            `cbor:"3,keyasint"`
}

type settleOp struct {
	Key     Key               `cbor:"1,keyasint"`
	Call    structs.CallID    `cbor:"2,keyasint"`
	Outcome structs.Outcome   `cbor:"3,keyasint"`
	Answer  structs.Message   `cbor:"4,keyasint"`
	Usage   structs.Usage     `cbor:"5,keyasint"`
	Replica structs.ReplicaID `cbor:"6,keyasint,omitempty"`
	End     bool              `cbor:"7,keyasint,omitempty"`
	At      int64             `cbor:"8,keyasint"`
	// Cached is the part of the prompt that the engine found in its cache and did not
	// compute.
	Cached int64 `cbor:"9,keyasint,omitempty"`
}

// endOp ends a program, or a root with its sub-agents.
type endOp struct {
	Key Key   `cbor:"1,keyasint"`
	At  int64 `cbor:"2,keyasint"`
}

// callRef identifies a running call.
type callRef struct {
	Key  Key            `cbor:"1,keyasint"`
	Call structs.CallID `cbor:"2,keyasint"`
}

// abandonOp ends the calls of hosts that left the view, with an unknown outcome.
type abandonOp struct {
	Calls  []callRef `cbor:"1,keyasint"`
	Window ownerTime `cbor:"2,keyasint"`
	At     int64     `cbor:"3,keyasint"`
}

// releaseMemoryOp converts a program's holders into pending releases.
type releaseMemoryOp struct {
	Key Key `cbor:"1,keyasint"`
}

// releasedOp confirms releases. An empty list of numbers confirms all releases of the
// replica.
type releasedOp struct {
	Replica structs.ReplicaID `cbor:"1,keyasint"`
	Numbers []uint64          `cbor:"2,keyasint,omitempty"`
}

// expireOp releases the memory of inactive programs and removes idle programs, old
// claims and old buckets.
type expireOp struct {
	Programs        []Key               `cbor:"1,keyasint,omitempty"`
	Claims          []ClaimKey          `cbor:"2,keyasint,omitempty"`
	Buckets         []structs.AccountID `cbor:"3,keyasint,omitempty"`
	DataLossExpired bool                `cbor:"4,keyasint,omitempty"`
	ReleaseMemory   []Key               `cbor:"5,keyasint,omitempty"`
}

// windowOp restarts a dispatch window at a new owner.
type windowOp struct {
	Key    Key       `cbor:"1,keyasint"`
	Window ownerTime `cbor:"2,keyasint"`
}

// dataLossOp marks a partition whose copies were lost.
type dataLossOp struct {
	Until   int64     `cbor:"1,keyasint"`
	Counter uint64    `cbor:"2,keyasint"`
	At      ownerTime `cbor:"3,keyasint"`
	Now     int64     `cbor:"9,keyasint,omitempty"`
}

// encMode encodes maps in a fixed order, so that equal states have equal snapshots.
var encMode = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// decMode allows histories with more elements than the library's default, and text that
// is not UTF-8: idempotency keys and header values are arbitrary bytes, and an
// operation that cannot be decoded would stop the partition.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements: 1 << 24,
		MaxMapPairs:      1 << 24,
		UTF8:             cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

func (o Op) encode() ([]byte, error) {
	data, err := encMode.Marshal(o)
	if err != nil {
		return nil, fmt.Errorf("encode operation: %w", err)
	}
	return data, nil
}
