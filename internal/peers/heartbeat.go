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
	// Stranded is set if the host has lost its links to all replicas, so that other hosts should
	// serve its callers.
	Stranded bool `cbor:"14,keyasint,omitempty"`
}

// Heartbeat is the message that hosts exchange. Each one proves that its sender is alive.
type Heartbeat struct {
	Host Host `cbor:"1,keyasint"`
	Condition
	// Usage is the usage of client accounts at the host since the start of its incarnation,
	// by the hash of the account's name. It is sent to the next owners of each account.
	Usage map[uint32]Usage `cbor:"4,keyasint,omitempty"`
	// PastUsage is the same as UsageReport.Past. Hosts of earlier builds neither send nor read it.
	PastUsage map[uint32][]uint32 `cbor:"19,keyasint,omitempty"`
	// Sequence orders the heartbeats of one incarnation.
	Sequence uint64 `cbor:"7,keyasint,omitempty"`
	// Hello asks the receiver for its own heartbeat.
	Hello bool `cbor:"8,keyasint,omitempty"`
	// Reports are changes in what the sender hears of the hosts that it watches.
	Reports []Report `cbor:"9,keyasint,omitempty"`
	// InFlight is what the sender has in flight, for the owners of services. FleetInFlight is what
	// all hosts have in flight at services that the sender owns, by replica. Hosts of earlier builds
	// neither send nor read them.
	InFlight      []ServiceInFlight `cbor:"17,keyasint,omitempty"`
	FleetInFlight []ServiceInFlight `cbor:"18,keyasint,omitempty"`
	Notice
}

// Report tells whether a watcher hears a host that it watches.
type Report struct {
	_           struct{} `cbor:",toarray"`
	Host        string
	Incarnation int64
	Missing     bool
}

// UsageReport is the usage of client accounts that one host reports to another, by the hash of the account's name.
type UsageReport struct {
	Counts map[uint32]Usage
	// Past tells a host that has become a receiver how old the requests are that Usage.Recent counts: the numbers of
	// requests in parts of the window of equal length, the newest first.
	Past map[uint32][]uint32
}

// Usage counts the requests of a client account.
type Usage struct {
	_ struct{} `cbor:",toarray"`
	// Admitted is the number of admitted requests. Committed is the number of requests
	// that the admitted programs are expected to need.
	Admitted  uint32
	Committed uint32
	// Recent is the number of requests in the current window, from all hosts that the sender
	// knows of. It informs a receiver without earlier counts.
	Recent uint32
}
