package pacing

import "time"

// Replica identifies one incarnation of a replica.
type Replica struct {
	ID          string
	Incarnation int64
}

// ReserveArgs asks the owner of a replica for a time at which one request may be sent to it.
type ReserveArgs struct {
	Replica Replica
	// PerSecond is the rate that the replica accepts, as the caller learned it Age ago.
	PerSecond float64
	Age       time.Duration
	// MaxWait is how long the request can wait.
	MaxWait time.Duration
}

// ReserveReply is the response to ReserveArgs. If Granted is set, the request may be sent after
// Wait; otherwise a further request is possible after Wait.
type ReserveReply struct {
	Granted bool
	Wait    time.Duration
	// PerSecond is the latest rate that the owner knows of, learned Age ago.
	PerSecond float64
	Age       time.Duration
}
