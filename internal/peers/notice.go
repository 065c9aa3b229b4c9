package peers

import "cowslipgw/internal/replica"

// Notice is what a host tells all others beside its own condition. Each part may be missing.
type Notice struct {
	// Limits are rates that replicas accept from all hosts, as the sender has just learned them.
	Limits []ReplicaLimit `cbor:"10,keyasint,omitempty"`
	// Crashes are replicas that ended while they ran requests of the sender.
	Crashes []Crash `cbor:"11,keyasint,omitempty"`
	// CrashPrograms identifies the program of each request in Crashes, in the same order; 0 for a
	// request that belongs to none. Hosts of earlier builds neither send nor read it.
	CrashPrograms []uint64 `cbor:"16,keyasint,omitempty"`
	// Completed are requests that a replica has run to the end although others crashed.
	Completed []RequestDigest `cbor:"12,keyasint,omitempty"`
	// Quarantined are requests that no replica may run.
	Quarantined []Quarantine `cbor:"13,keyasint,omitempty"`
	// LeavingReplicas are those that told the sender that they are about to end.
	LeavingReplicas []replica.Incarnation `cbor:"15,keyasint,omitempty"`
	// ColdReplicas are those that told the sender that they are cold. Hosts of earlier builds neither
	// send nor read them.
	ColdReplicas []ColdReplica `cbor:"20,keyasint,omitempty"`
}

// isEmpty reports whether the notice has no part.
func (n Notice) isEmpty() bool {
	return len(n.Limits)+len(n.Crashes)+len(n.Completed)+len(n.Quarantined)+len(n.LeavingReplicas)+len(n.ColdReplicas) == 0
}

// CrashProgram returns the program of the request in Crashes with the given index, or 0 if it
// belongs to none or the sender does not say so.
func (n Notice) CrashProgram(index int) uint64 {
	if index >= len(n.CrashPrograms) {
		return 0
	}
	return n.CrashPrograms[index]
}

// ReplicaLimit is the rate of requests that a replica accepts from all hosts together.
type ReplicaLimit struct {
	_           struct{} `cbor:",toarray"`
	Replica     string
	Incarnation int64
	PerSecond   float64
}

// ColdReplica is a replica that is cold for some time.
type ColdReplica struct {
	_           struct{} `cbor:",toarray"`
	Replica     replica.Incarnation
	RemainingMS int64
}

// RequestDigest identifies a request and its repetitions.
type RequestDigest [16]byte

// Crash is the end of one incarnation of a replica while it ran a request.
type Crash struct {
	_           struct{} `cbor:",toarray"`
	Request     RequestDigest
	Replica     string
	Incarnation int64
}

// Quarantine is a request that no replica may run for some time.
type Quarantine struct {
	_           struct{} `cbor:",toarray"`
	Request     RequestDigest
	RemainingMS int64
}
