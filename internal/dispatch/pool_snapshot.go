package dispatch

import (
	"slices"
	"strings"
	"time"

	"cowslipgw/internal/sched"
	"cowslipgw/internal/structs"
	"cowslipgw/internal/upstream"
)

// stateLeaving is the state of a replica in the host list that is about to stop.
const stateLeaving = "leaving"

// report is a load report in the form that the policy takes.
type report struct {
	at       time.Time
	programs map[uint64]struct{}
}

// reportCache keeps the converted report of each replica.
type reportCache map[structs.ReplicaID]report

// programs returns the programs of a report, converted once for each report.
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
	c[id] = report{at: load.At, programs: programs}
	return programs
}

// forgetter is a policy that keeps a state for each replica.
type replicaRemover interface {
	RemoveReplica(replica structs.ReplicaID)
}

// snapshotLocked returns the pool's replicas, ordered by ID, and their addresses.
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
	p.dropGoneLocked(addresses)
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

// dropGoneLocked forgets reports of replicas that left the host list.
func (p *Pool) dropGoneLocked(present map[structs.ReplicaID]string) {
	for id := range p.reports {
		if _, ok := present[id]; ok {
			continue
		}
		delete(p.reports, id)
		if f, ok := p.policy.(replicaRemover); ok {
			f.RemoveReplica(id)
		}
	}
}
