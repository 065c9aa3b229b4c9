package placement

import (
	"context"

	"cowslipgw/internal/lists"
	"cowslipgw/internal/structs"
	"cowslipgw/internal/upstream"
)

// Owner knows which pools this host plans.
type Owner interface {
	// Plans returns the number of the view by which this host plans the pool. false means
	// that it does not, or that its view may be more than 3 s behind. Both results must
	// come from the same view.
	Plans(pool structs.PoolName) (structs.ViewNumber, bool)
}

// Directory knows the replicas and their reports.
type Directory interface {
	// Replicas returns the replicas of a pool in order of their IDs, the leaving ones
	// included.
	Replicas(pool structs.PoolName) []upstream.Replica
	LoadState(id structs.ReplicaID) upstream.LoadState
}

// Demands knows the demand of a pool's models.
type Demands interface {
	Demand(pool structs.PoolName) map[string]Demand
}

// Orders gives orders to engines.
type Orders interface {
	// Order must not send anything once ctx has ended.
	Order(ctx context.Context, address string, order upstream.Order) error
}

// Lists gives the lists in force.
type Lists interface {
	Current() *lists.Lists
}
