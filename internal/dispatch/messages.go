package dispatch

import "cowslipgw/internal/structs"

// AcquireArgs requests a slot, or continues the wait of a queued call.
type AcquireArgs struct {
	Request Request
	// Trace is the W3C traceparent of the call.
	Trace string
}

// State is the outcome of an Acquire request.
type State int

const (
	// StateGranted means that Slot holds the granted slot.
	StateGranted State = iota + 1
	// StateQueued means that the call is still queued. The host polls again at once.
	StateQueued
	// StateMoved means that this host does not dispatch the pool.
	StateMoved
	// StateRefused means that Problem holds the reason for the refusal.
	StateRefused
)

// AcquireReply is the reply to an Acquire request.
type AcquireReply struct {
	State   State
	Slot    Slot
	Problem *structs.Problem
}

// ReleaseArgs frees a slot or cancels a waiting call.
type ReleaseArgs struct {
	Pool   structs.PoolName
	Call   structs.CallID
	Result Result
}

// RegisterArgs lists all calls that a host has in flight in a pool.
type RegisterArgs struct {
	Pool   structs.PoolName
	Origin structs.Origin
	Calls  []Running
}

// Running is a call in flight and the replica that it runs on.
type Running struct {
	Request Request
	Replica structs.ReplicaID
}

// RegisterReply reports whether the registration was accepted. Moved is set if this
// host does not dispatch the pool.
type RegisterReply struct {
	Moved bool
}

// Empty is an empty reply.
type Empty struct{}
