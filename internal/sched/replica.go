package sched

import (
	"slices"
	"time"

	"cowslipgw/internal/structs"
)

// Replica is the state of one replica at the time of a decision.
type Replica struct {
	ID structs.ReplicaID
	// Leaving replicas get no new calls.
	Leaving bool
	// Reported is set if there is a load report. It was measured at ReportedAt, and
	// the fields below come from it.
	Reported   bool
	ReportedAt time.Duration
	// Running and Queued count the calls at the replica, from this dispatcher and
	// from others.
	Running, Queued int
	// Slots is the number of calls that the replica runs concurrently, or 0 if
	// unknown.
	Slots int
	// CacheTokens is the part of CacheLimit in use for running calls and cached
	// prompts. CacheLimit is 0 if unknown.
	CacheTokens, CacheLimit int64
	// Programs is the set of programs cached at the replica, or nil if unknown.
	Programs map[uint64]struct{}
	// Models lists the loaded models, or is nil if they are unknown.
	Models []string
}

// Snapshot is the state of a pool's replicas, sorted by replica ID.
type Snapshot struct {
	Replicas []Replica
}

// serves reports whether the replica has the model loaded. A replica whose models
// are unknown is assumed to serve all of them.
func (r *Replica) serves(model string) bool {
	return model == "" || r.Models == nil || slices.Contains(r.Models, model)
}

// find returns the replica with the given ID, or nil if there is none.
func (s Snapshot) find(id structs.ReplicaID) *Replica {
	index, found := slices.BinarySearchFunc(s.Replicas, id, func(r Replica, id structs.ReplicaID) int {
		return compareID(r.ID, id)
	})
	if !found {
		return nil
	}
	return &s.Replicas[index]
}
