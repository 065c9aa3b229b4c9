package dispatch

import (
	"time"

	"cowslipgw/internal/structs"
)

// Slot is a grant to run one call on a replica.
type Slot struct {
	Pool    structs.PoolName
	Replica structs.ReplicaID
	// Address is the replica's "ip:port".
	Address string
	// Ticket is the slot's fencing token. It is 0 if the replica was chosen locally.
	Ticket uint64
	// Dispatcher is the host that granted the slot.
	Dispatcher structs.HostID
	Call       structs.CallID
}

// Result describes the outcome of the call that used a slot.
type Result struct {
	Outcome    structs.Outcome
	Usage      structs.Usage
	FirstToken time.Duration
	Total      time.Duration
}
