package peers

// Heartbeat is what a host tells the others several times a second.
type Heartbeat struct {
	Host Host `cbor:"1,keyasint"`
	// Leaving says that the host drains before a planned stop.
	Leaving bool `cbor:"2,keyasint"`
	// Serving says that callers may be sent to the host.
	Serving bool `cbor:"3,keyasint"`
	// StoreLost says that the host does not reach the store, so that others should
	// decide for its partitions.
	StoreLost bool `cbor:"5,keyasint,omitempty"`
	// Admitted counts the requests admitted since the start of the incarnation, by the
	// hash of the client account's name.
	Admitted map[uint32]uint32 `cbor:"4,keyasint,omitempty"`
}
