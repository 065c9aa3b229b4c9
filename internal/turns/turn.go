package turns

// State is how far a turn has come. A higher state replaces a lower one.
type State uint8

// The states of a turn.
const (
	// Open turns hold a reservation of the most tokens that they can generate.
	Open State = iota
	// Failed turns ended without a whole answer; their tokens are those handed out.
	Failed
	// Ended turns were answered whole and can be continued.
	Ended
)

// Turn is one request of a program with its answer.
type Turn struct {
	ID      string `cbor:"1,keyasint"`
	Parent  string `cbor:"2,keyasint,omitempty"`
	Account string `cbor:"3,keyasint"`
	Program string `cbor:"4,keyasint"`
	State   State  `cbor:"5,keyasint"`
	// Tokens are reserved while the turn is open, and handed out afterwards.
	Tokens int `cbor:"6,keyasint"`
	// Input is what the caller sent; Output what the engine is to read of the answer.
	Input  []byte `cbor:"7,keyasint,omitempty"`
	Output []byte `cbor:"8,keyasint,omitempty"`
	// Replica ran the turn and may hold its prefix in its cache.
	Replica string `cbor:"9,keyasint,omitempty"`
	// Expiry is the Unix time in milliseconds until which the turn is kept at least.
	Expiry int64 `cbor:"10,keyasint"`
	// Writer is the home that wrote the record.
	Writer int64 `cbor:"12,keyasint,omitempty"`
	// Preallocations are the tokens that homes may grant without a further record, by writer,
	// as of this record; see program.
	Preallocations map[int64]int `cbor:"13,keyasint,omitempty"`
	// Forgiven are the tokens of preallocations that are no longer counted, although turns that
	// used them may be lost with their hosts.
	Forgiven int `cbor:"14,keyasint,omitempty"`
}
