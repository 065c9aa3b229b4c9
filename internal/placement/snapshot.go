package placement

import (
	"time"

	"cowslipgw/internal/structs"
	"cowslipgw/internal/upstream"
)

// Replica is the state of one engine at the time of planning.
type Replica struct {
	ID      structs.ReplicaID
	Address string
	// Live is false for a replica that is leaving, has failed or has not yet
	// reported.
	Live bool
	// Ready reports whether earlier orders, from this host or another, permit a new
	// order to the replica now.
	Ready bool
	// Models lists the full names of the reported models, or is nil if they are
	// unknown.
	Models []string
	// Loading is the full name of a model that was ordered and is not yet reported.
	Loading string
	// OrderedAt is the time of the last order, or zero if there was none.
	OrderedAt              time.Time
	Slots, Running, Queued int
}

// Snapshot is the input for planning one pool.
type Snapshot struct {
	// Models are the pool's models in the lists in force.
	Models []Model
	// Replicas are sorted by ID.
	Replicas []Replica
	// Demand holds the demand by full model name.
	Demand map[string]Demand
	// GainSince holds, by full name, the time since which a model has been gaining
	// from another replica without interruption.
	GainSince map[string]time.Time
	// Budget is the number of bytes that may be ordered from the weight store now.
	// Rate is the pool's share of its rate in bytes per second.
	Budget, Rate int64
	// Fence is the fencing token of the first order.
	Fence    uint64
	Settings Settings
}

// Order is a load order and the replica that it is for.
type Order struct {
	Replica structs.ReplicaID
	Address string
	// Replaces is set if the replica is full and may drop any of its models.
	Replaces bool
	upstream.Order
}

// model returns the full name of the model to load.
func (o Order) model() string {
	return Model{Name: o.Model, Adapter: o.Adapter, Version: o.Version}.FullName()
}
