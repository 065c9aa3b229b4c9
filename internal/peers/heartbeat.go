package peers

// Condition is the state that a host reports about itself.
type Condition struct {
	// Leaving is set while the host drains before a planned stop.
	Leaving bool `cbor:"2,keyasint"`
	// Serving is set if callers may be sent to the host.
	Serving bool `cbor:"3,keyasint"`
	// StoreLost is set if the host cannot reach the store, so that other hosts should own
	// its partitions.
	StoreLost bool `cbor:"5,keyasint,omitempty"`
	// Overloaded is set if the host lacks processor time, so that other hosts should own
	// its partitions and serve its callers.
	Overloaded bool `cbor:"6,keyasint,omitempty"`
}

// Heartbeat is the message that each host sends to all others periodically, in a small
// fleet several times a second.
type Heartbeat struct {
	Host Host `cbor:"1,keyasint"`
	Condition
	// Usage is the usage of client accounts at the host since the start of its incarnation,
	// by the hash of the account's name.
	Usage map[uint32]Usage `cbor:"4,keyasint,omitempty"`
}

// Usage counts the requests of a client account.
type Usage struct {
	_ struct{} `cbor:",toarray"`
	// Admitted is the number of admitted requests. Committed is the number of requests
	// that the admitted programs are expected to need.
	Admitted  uint32
	Committed uint32
}
