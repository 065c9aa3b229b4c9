package peers

// Host describes one process of the system.
type Host struct {
	// ID names the machine; it survives restarts.
	ID string `cbor:"1,keyasint"`
	// Incarnation differs between two starts of a process.
	Incarnation int64 `cbor:"2,keyasint"`
	// Addr is the address for calls and heartbeats between hosts.
	Addr string `cbor:"3,keyasint"`
	// Entry is the address for callers.
	Entry string `cbor:"4,keyasint"`
	Zone  string `cbor:"5,keyasint"`
}
