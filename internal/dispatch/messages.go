package dispatch

import "cowslipgw/internal/structs"

// AcquireArgs asks for a slot, or asks again for a call that waits already.
type AcquireArgs struct {
	Request Request
	// Trace is the W3C traceparent of the call.
	Trace string
}

// State says what an AcquireReply means.
type State int

const (
	// StateGranted means that Slot is valid.
	StateGranted State = iota + 1
	// StateQueued means that the call waits; the host asks again at once.
	StateQueued
	// StateMoved means that this host does not dispatch the pool.
	StateMoved
	// StateRefused means that Problem is valid.
	StateRefused
)

// AcquireReply is the outcome of one question.
type AcquireReply struct {
	State   State
	Slot    Slot
	Problem *structs.Problem
}

// ReleaseArgs gives a slot back, or cancels a call that waits.
type ReleaseArgs struct {
	Pool   structs.PoolName
	Call   structs.CallID
	Result Result
}

// RegisterArgs lists all calls in flight of a host in a pool.
type RegisterArgs struct {
	Pool   structs.PoolName
	Origin structs.Origin
	Calls  []Running
}

// Running is a call in flight and its replica.
type Running struct {
	Request Request
	Replica structs.ReplicaID
}

// RegisterReply says whether the host dispatches the pool.
type RegisterReply struct {
	Moved bool
}

// Empty is a reply without content.
type Empty struct{}
