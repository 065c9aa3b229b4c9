package dispatch

import (
	"cowslipgw/internal/structs"
	"cowslipgw/internal/upstream"
)

// Directory knows the replicas of the pools and their load.
type Directory interface {
	// Replicas returns the replicas of a pool, the leaving ones included.
	Replicas(pool structs.PoolName) []upstream.Replica
	// Load returns the newest report of a replica; false if there is none. Its field At
	// is on this host's clock: when the report was asked for.
	Load(replica structs.ReplicaID) (upstream.Load, bool)
	// Changed returns a channel that is closed when replicas or reports have changed.
	Changed() <-chan struct{}
}

// Owners finds the host that dispatches a pool.
type Owners interface {
	// Owner returns the control address of the pool's owner in the current view, and
	// whether it is this host. The address is empty when no owner is known.
	Owner(pool structs.PoolName) (address string, self bool)
	// Term is the number of the current view. It becomes the high part of tickets, so
	// that a later dispatcher gives higher ones.
	Term() structs.ViewNumber
}
