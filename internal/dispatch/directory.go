package dispatch

import (
	"cowslipgw/internal/structs"
	"cowslipgw/internal/upstream"
)

// Directory provides the replicas of the pools and their load reports.
type Directory interface {
	// Replicas returns the replicas of a pool, including those that are leaving.
	Replicas(pool structs.PoolName) []upstream.Replica
	// Load returns the newest load report of a replica, or false if there is none.
	// Its field At is the time, on this host's clock, at which the report was
	// requested.
	Load(replica structs.ReplicaID) (upstream.Load, bool)
	// Changed returns a channel that is closed when the replicas or their reports
	// change.
	Changed() <-chan struct{}
}

// Owners finds the host that dispatches a pool.
type Owners interface {
	// Owner returns the control address of the pool's owner in the current view, and
	// whether it is this host. The address is empty if no owner is known.
	Owner(pool structs.PoolName) (address string, self bool)
	// Term returns the number of the current view. It forms the high bits of
	// tickets, so that a later dispatcher always issues higher tickets.
	Term() structs.ViewNumber
}
