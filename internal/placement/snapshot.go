package placement

import (
	"time"

	"cowslipgw/internal/structs"
	"cowslipgw/internal/upstream"
)

// Replica is what is known of one engine when a plan is made.
type Replica struct {
	ID      structs.ReplicaID
	Address string
	// Live is false for a replica that leaves, fails or has not reported yet.
	Live bool
	// Ready says that the replica may get an order now, as far as earlier orders, of this
	// host and of another, are concerned.
	Ready bool
	// Models is the report's list of full names; nil if not known.
	Models []string
	// Loading is the full name of a model that was ordered and is not reported yet.
	Loading string
	// Ordered is when the last order was given; zero for none.
	Ordered                time.Time
	Slots, Running, Queued int
}

// Snapshot is what a plan for one pool is made from.
type Snapshot struct {
	// Models are those of the lists in force for this pool.
	Models []Model
	// Replicas are ordered by ID.
	Replicas []Replica
	// Demand is by full name.
	Demand map[string]Demand
	// Gaining says since when another replica would have been a gain for a model, without
	// a break.
	Gaining map[string]time.Time
	// Budget is how many bytes may be ordered from the weight store now, Rate how many the
	// pool may order a second.
	Budget, Rate int64
	// Fence is the fencing number of the first order.
	Fence    uint64
	Settings Settings
}

// Order is an order for one replica.
type Order struct {
	Replica structs.ReplicaID
	Address string
	// Replaces says that the replica is full and may drop any of its models.
	Replaces bool
	upstream.Order
}

// model returns the full name of what the order loads.
func (o Order) model() string {
	return Model{Name: o.Model, Adapter: o.Adapter, Version: o.Version}.FullName()
}
