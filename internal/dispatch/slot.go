package dispatch

import (
	"time"

	"cowslipgw/internal/structs"
)

// Slot is the right to run one call on a replica.
type Slot struct {
	Pool    structs.PoolName
	Replica structs.ReplicaID
	// Address is the replica's "ip:port".
	Address string
	Ticket  uint64
	// Dispatcher is the host that gave the slot.
	Dispatcher structs.HostID
	Call       structs.CallID
}

// Result is what the holder of a slot learned.
type Result struct {
	Outcome    structs.Outcome
	Usage      structs.Usage
	FirstToken time.Duration
	Total      time.Duration
}
