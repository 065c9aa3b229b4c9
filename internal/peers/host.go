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
	// Cores is the processor time that the host may use, in cores. It weighs the host as
	// home and as entry.
	Cores float64 `cbor:"6,keyasint,omitempty"`
}

// weight is the host's part of the work in relation to others. A host that does not say
// what it has counts as one core.
func (h Host) weight() float64 {
	if h.Cores <= 0 {
		return 1
	}
	return h.Cores
}
