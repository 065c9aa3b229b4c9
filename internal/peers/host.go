package peers

// Host describes a host of the fleet and the process that runs on it.
type Host struct {
	// ID identifies the host; it stays the same over restarts.
	ID string `cbor:"1,keyasint"`
	// Incarnation identifies one run of the process; it grows with each restart.
	Incarnation int64 `cbor:"2,keyasint"`
	// Addr is the address for calls and heartbeats from other hosts.
	Addr string `cbor:"3,keyasint"`
	// Entry is the address that callers connect to.
	Entry string `cbor:"4,keyasint"`
	// Domain is the failure domain of the host.
	Domain string `cbor:"5,keyasint"`
	// Cores is the processor time that the host may use, in cores. It is the host's weight
	// when owners of keys and entries for callers are chosen.
	Cores float64 `cbor:"6,keyasint,omitempty"`
	// Relay is the address for requests that other hosts cannot send to replicas themselves;
	// empty if the host passes none on.
	Relay string `cbor:"7,keyasint,omitempty"`
}

// weight returns the host's relative share of the work. A host that does not report its
// cores counts as one core.
func (h Host) weight() float64 {
	if h.Cores <= 0 {
		return 1
	}
	return h.Cores
}
