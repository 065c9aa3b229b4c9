package turns

// State is the progress of a turn. A higher state replaces a lower one.
type State uint8

// The states of a turn.
const (
	// Open turns reserve the maximum number of tokens that they can generate.
	Open State = iota
	// Closed turns cannot be continued: their answer was incomplete, or their route stores no
	// turns. Their tokens are those sent to the caller.
	Closed
	// Ended turns were answered completely and can be continued.
	Ended
)

// Turn is one request of a program together with its answer.
type Turn struct {
	ID      string `cbor:"1,keyasint"`
	Parent  string `cbor:"2,keyasint,omitempty"`
	Account string `cbor:"3,keyasint"`
	Program string `cbor:"4,keyasint"`
	State   State  `cbor:"5,keyasint"`
	// Tokens is the reservation while the turn is open, and the number sent to the caller
	// afterwards.
	Tokens int `cbor:"6,keyasint"`
	// Input is the caller's request body, after the history if the parent is in another
	// partition; Output is the part of the answer that the engine reads when the program
	// continues.
	Input  []byte `cbor:"7,keyasint,omitempty"`
	Output []byte `cbor:"8,keyasint,omitempty"`
	// Session names the sequence of turns within the program; records do not contain it.
	Session string `cbor:"15,keyasint,omitempty"`
	// Replica is the replica that ran the turn and may have its prefix cached.
	Replica string `cbor:"9,keyasint,omitempty"`
	// Expiry is the Unix time in milliseconds until which the turn is retained at least.
	Expiry int64 `cbor:"10,keyasint"`
	// Writer identifies the owner that wrote the record.
	Writer int64 `cbor:"12,keyasint,omitempty"`
	// Preallocations holds, by writer, the tokens that owners may grant without a further
	// record, as of this record; see program.
	Preallocations map[int64]int `cbor:"13,keyasint,omitempty"`
	// Forgiven is the number of preallocated tokens that are no longer counted, although
	// turns that used them may have been lost with their hosts.
	Forgiven int `cbor:"14,keyasint,omitempty"`
	// Backups holds, by writer, the hosts that keep copies of what owners grant from their preallocations; an owner
	// that is missing has none, as in records of earlier builds.
	Backups map[int64]int64 `cbor:"18,keyasint,omitempty"`
	// Granter is the owner that granted the turn from its preallocation without a record, and Reserved
	// the number of tokens; 0 otherwise, and in settlements of earlier builds. Records do not
	// contain them.
	Granter  int64 `cbor:"16,keyasint,omitempty"`
	Reserved int   `cbor:"17,keyasint,omitempty"`

	// offset is that of the record in the store, or -1 if it is not known, and size the length
	// of the input and the output. Owners keep both in memory, and the contents apart.
	offset int64
	size   int
}
