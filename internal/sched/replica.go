package sched

import (
	"slices"
	"time"

	"cowslipgw/internal/structs"
)

// Replica is what is known of one replica at the time of a decision.
type Replica struct {
	ID structs.ReplicaID
	// Leaving replicas get no new calls.
	Leaving bool
	// Reported says that the fields below come from a load report measured at ReportedAt.
	Reported   bool
	ReportedAt time.Duration
	// Running and Queued count calls in the replica, of this dispatcher and of others.
	Running, Queued int
	// Slots is how many calls the replica runs at once; 0 if not known.
	Slots int
	// CacheTokens of CacheLimit are in use for running calls and cached prompts; CacheLimit
	// is 0 if not known.
	CacheTokens, CacheLimit int64
	// Programs holds the programs with cache at the replica; nil if not known.
	Programs map[uint64]struct{}
	// Models lists what is loaded; nil if not known.
	Models []string
}

// Snapshot is the state of a pool's replicas. It is ordered by replica ID.
type Snapshot struct {
	Replicas []Replica
}

// serves says whether the replica has the model loaded, as far as is known.
func (r *Replica) serves(model string) bool {
	return model == "" || r.Models == nil || slices.Contains(r.Models, model)
}

// find returns the replica with the given ID, or nil.
func (s Snapshot) find(id structs.ReplicaID) *Replica {
	index, found := slices.BinarySearchFunc(s.Replicas, id, func(r Replica, id structs.ReplicaID) int {
		return compareID(r.ID, id)
	})
	if !found {
		return nil
	}
	return &s.Replicas[index]
}
