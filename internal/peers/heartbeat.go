package peers

// Condition is what a host says of itself.
type Condition struct {
	// Leaving says that the host drains before a planned stop.
	Leaving bool `cbor:"2,keyasint"`
	// Serving says that callers may be sent to the host.
	Serving bool `cbor:"3,keyasint"`
	// StoreLost says that the host does not reach the store, so that others should
	// decide for its partitions.
	StoreLost bool `cbor:"5,keyasint,omitempty"`
	// Strained says that the host lacks processor time, so that others should decide for
	// its partitions and serve its callers.
	Strained bool `cbor:"6,keyasint,omitempty"`
}

// Heartbeat is what a host tells the others several times a second.
type Heartbeat struct {
	Host Host `cbor:"1,keyasint"`
	Condition
	// Usage is what client accounts used at the host since the start of its incarnation,
	// by the hash of the account's name.
	Usage map[uint32]Usage `cbor:"4,keyasint,omitempty"`
}

// Usage counts what a client account used.
type Usage struct {
	_ struct{} `cbor:",toarray"`
	// Admitted requests, and requests that the programs let in are expected to need.
	Admitted  uint32
	Committed uint32
}
