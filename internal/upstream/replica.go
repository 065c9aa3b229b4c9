package upstream

import "cowslipgw/internal/structs"

// Replica is an upstream in the host list.
type Replica struct {
	Pool    structs.PoolName  `json:"pool"`
	ID      structs.ReplicaID `json:"id"`
	Address string            `json:"address"`
	Domain  structs.Domain    `json:"failure_domain"`
	// State is "live" or "leaving".
	State string `json:"state"`
	// Kind is "engine" or "app".
	Kind string `json:"kind"`
	// ChecksFence is set if the replica rejects orders with a stale fencing token.
	ChecksFence bool `json:"checks_fence"`
}
