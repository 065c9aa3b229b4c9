package placement

import (
	"context"

	"cowslipgw/internal/lists"
	"cowslipgw/internal/structs"
	"cowslipgw/internal/upstream"
)

// Owner determines which pools this host plans.
type Owner interface {
	// Plans returns the number of the view in which this host plans the pool. It
	// returns false if this host does not plan the pool or its view may be more than
	// 3 s behind. Both results must come from the same view.
	Plans(pool structs.PoolName) (structs.ViewNumber, bool)
}

// Directory provides the replicas and their load reports.
type Directory interface {
	// Replicas returns the replicas of a pool sorted by ID, including those that are
	// leaving.
	Replicas(pool structs.PoolName) []upstream.Replica
	LoadState(id structs.ReplicaID) upstream.LoadState
}

// DemandSource provides the demand for a pool's models.
type DemandSource interface {
	Demand(pool structs.PoolName) map[string]Demand
}

// OrderSender sends orders to engines.
type OrderSender interface {
	// Order must not send anything once ctx is done.
	Order(ctx context.Context, address string, order upstream.Order) error
}

// ListSource provides the lists in force.
type ListSource interface {
	Current() *lists.Lists
}
