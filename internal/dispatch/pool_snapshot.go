package dispatch

import (
	"slices"
	"strings"
	"time"

	"cowslipgw/internal/sched"
	"cowslipgw/internal/structs"
	"cowslipgw/internal/upstream"
)

// stateLeaving is the state, in the host list, of a replica that is about to stop.
const stateLeaving = "leaving"

// programSet is the set of programs in a load report, with the time of that report.
type programSet struct {
	at       time.Time
	programs map[uint64]struct{}
}

// reportCache holds the converted load report of each replica.
type reportCache map[structs.ReplicaID]programSet

// programs returns the set of programs in a load report. Each report is converted
// only once.
func (c reportCache) programs(id structs.ReplicaID, load upstream.Load) map[uint64]struct{} {
	if load.Programs == nil {
		return nil
	}
	cached, ok := c[id]
	if ok && cached.at.Equal(load.At) {
		return cached.programs
	}
	programs := make(map[uint64]struct{}, len(load.Programs))
	for _, program := range load.Programs {
		programs[program] = struct{}{}
	}
	c[id] = programSet{at: load.At, programs: programs}
	return programs
}

// replicaRemover is implemented by policies that keep state per replica.
type replicaRemover interface {
	RemoveReplica(replica structs.ReplicaID)
}

// snapshotLocked returns the pool's replicas, sorted by ID, and their addresses.
func (p *Pool) snapshotLocked() (sched.Snapshot, map[structs.ReplicaID]string) {
	replicas := slices.Clone(p.directory.Replicas(p.name))
	slices.SortFunc(replicas, func(a, b upstream.Replica) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	addresses := make(map[structs.ReplicaID]string, len(replicas))
	snapshot := sched.Snapshot{Replicas: make([]sched.Replica, 0, len(replicas))}
	for _, replica := range replicas {
		addresses[replica.ID] = replica.Address
		snapshot.Replicas = append(snapshot.Replicas, p.replicaLocked(replica))
	}
	p.removeDepartedReplicasLocked(addresses)
	return snapshot, addresses
}

func (p *Pool) replicaLocked(replica upstream.Replica) sched.Replica {
	info := sched.Replica{ID: replica.ID, Leaving: replica.State == stateLeaving}
	load, ok := p.directory.Load(replica.ID)
	if !ok {
		return info
	}
	info.Reported = true
	info.ReportedAt = min(load.At.Sub(p.start), p.now())
	info.Leaving = info.Leaving || load.Leaving
	info.Running, info.Queued, info.Slots = load.Running, load.Queued, load.Slots
	info.CacheTokens, info.CacheLimit = load.CacheTokens, load.CacheLimit
	info.Programs = p.reports.programs(replica.ID, load)
	info.Models = load.Models
	return info
}

// removeDepartedReplicasLocked drops the state of replicas that have left the host
// list.
func (p *Pool) removeDepartedReplicasLocked(present map[structs.ReplicaID]string) {
	for id := range p.reports {
		if _, ok := present[id]; ok {
			continue
		}
		delete(p.reports, id)
		if remover, ok := p.policy.(replicaRemover); ok {
			remover.RemoveReplica(id)
		}
	}
}
