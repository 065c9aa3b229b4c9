package upstream

import "cowslipgw/internal/structs"

// Replica is one upstream of the host list.
type Replica struct {
	Pool    structs.PoolName  `json:"pool"`
	ID      structs.ReplicaID `json:"id"`
	Address string            `json:"address"`
	Domain  structs.Domain    `json:"failure_domain"`
	// State is "live" or "leaving".
	State string `json:"state"`
	// Kind is "engine" or "app".
	Kind string `json:"kind"`
	// ChecksFence says whether the replica refuses orders with an old fencing number.
	ChecksFence bool `json:"checks_fence"`
}
