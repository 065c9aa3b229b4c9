package partition

import (
	"math"
	"sync"

	"cowslipgw/internal/event"
	"cowslipgw/internal/fleet"
	"cowslipgw/internal/structs"
)

// unmatchedBase is sent to backups instead of the base of a state that was restored
// after a loss. No copy has this base, so every backup requests an install.
var unmatchedBase = Base{Activated: math.MaxUint64}

// adoptStates brings the best copies to this host and returns the partitions for which
// it succeeded.
func (rec *recovery) adoptStates(found, lost []*survey) []ID {
	var ready []ID
	remote := make(map[structs.HostID][]ID)
	lostIDs := make(map[ID]bool)
	for _, s := range lost {
		lostIDs[s.id] = true
	}
	rec.logLost(len(lost))
	for _, s := range append(found, lost...) {
		rec.queueHolderReleases(s)
		if s.holder != "" && s.holder != rec.m.self {
			remote[s.holder] = append(remote[s.holder], s.id)
			continue
		}
		if rec.adoptLocal(s, lostIDs[s.id]) {
			ready = append(ready, s.id)
		}
	}
	bases := make(map[ID]Base)
	for _, s := range append(found, lost...) {
		bases[s.id] = s.best.Base
	}
	return append(ready, rec.transfer(remote, bases, lostIDs)...)
}

func (rec *recovery) logLost(count int) {
	rec.mu.Lock()
	rec.lost += count
	rec.mu.Unlock()
	if count > 0 {
		rec.m.config.Logger.Log(event.PartitionDataLoss, event.Fields{"view": rec.table.Number(), "partitions": count})
	}
}

// queueHolderReleases records the hosts to notify once the partition is active, because
// they have a copy.
func (rec *recovery) queueHolderReleases(s *survey) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for host := range s.holders {
		if host != rec.m.self {
			rec.releases[host] = append(rec.releases[host], s.id)
		}
	}
}

// queueFormerReplicaRelease records the hosts that were replicas in the previous view
// and no longer are, so that a draining host need not poll the owner.
func (rec *recovery) queueFormerReplicaRelease(id ID) {
	if len(rec.history) < 2 {
		return
	}
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for _, host := range rec.history[len(rec.history)-2].Replicas(id) {
		if !rec.table.Holds(id, host.ID) {
			rec.releases[host.ID] = append(rec.releases[host.ID], id)
		}
	}
}

// adoptLocal uses this host's own copy, or an empty one, as the newest state.
func (rec *recovery) adoptLocal(s *survey, lost bool) bool {
	r := rec.m.replicas[s.id]
	if !lost {
		return rec.withReplica(s.id, func(r *replica) bool {
			if r.base != s.best.Base {
				return false
			}
			if r.machine == nil {
				r.machine = rec.m.config.NewMachine(r.id)
			}
			rec.markActivated(r, s.best)
			return true
		})
	}
	machine := rec.m.config.NewMachine(s.id)
	if own, found := rec.m.copyOfReplica(r, true); found {
		if err := machine.Restore(own.Snapshot); err != nil {
			rec.m.logStateError(s.id, err)
		}
	}
	return rec.adoptAfterLoss(s.best, machine)
}

// adoptAfterLoss restores as much as possible of a partition that may have lost its
// newest state.
func (rec *recovery) adoptAfterLoss(best Copy, machine StateMachine) bool {
	rec.m.config.OnLost(best.ID, best.Base, machine)
	return rec.withReplica(best.ID, func(r *replica) bool {
		r.machine = machine
		r.base.Seq = best.Base.Seq
		r.activateLocked(rec.table.Number(), nil)
		r.authoritative = true
		r.forceInstall = true
		return true
	})
}

// markActivated marks the copy as the newest state and as activated in this view.
func (rec *recovery) markActivated(r *replica, best Copy) {
	lineage := best.Lineage
	if best.Base != (Base{}) {
		lineage = appendLineage(lineage, best.Base)
	}
	r.activateLocked(rec.table.Number(), lineage)
	r.authoritative = true
}

// transfer fetches the states that other hosts hold and returns the partitions for
// which it succeeded.
func (rec *recovery) transfer(remote map[structs.HostID][]ID, bases map[ID]Base, lostIDs map[ID]bool) []ID {
	byHost := make(map[fleet.Host][]ID)
	for id, ids := range remote {
		if host, found := rec.table.View().Find(id); found {
			byHost[host] = ids
		}
	}
	var mu sync.Mutex
	var ready []ID
	rec.m.forEachHost(byHost, func(host fleet.Host, ids []ID) {
		got := rec.transferFrom(host, ids, bases, lostIDs)
		mu.Lock()
		defer mu.Unlock()
		ready = append(ready, got...)
	})
	return ready
}

// transferFrom fetches states from one host, in several calls if they are large.
func (rec *recovery) transferFrom(host fleet.Host, ids []ID, bases map[ID]Base, lostIDs map[ID]bool) []ID {
	var ready []ID
	for len(ids) > 0 && rec.ctx.Err() == nil {
		var reply FetchReply
		request := FetchRequest{From: rec.sender, IDs: ids, Snapshots: true}
		err := rec.m.call(rec.ctx, host, "Partition.Fetch", &request, &reply, transferTimeout)
		if err != nil || reply.Code != CodeOK || len(reply.Copies) == 0 {
			return ready
		}
		for _, copied := range reply.Copies {
			if copied.Base == bases[copied.ID] && rec.adoptRemote(copied, lostIDs[copied.ID]) {
				ready = append(ready, copied.ID)
			}
		}
		last := reply.Copies[len(reply.Copies)-1].ID
		ids = idsAfter(ids, last)
	}
	return ready
}

// idsAfter returns the IDs that follow last in the list.
func idsAfter(ids []ID, last ID) []ID {
	for i, id := range ids {
		if id == last {
			return ids[i+1:]
		}
	}
	return nil
}

// adoptRemote uses another host's copy as the newest state.
func (rec *recovery) adoptRemote(copied Copy, lost bool) bool {
	machine := rec.m.config.NewMachine(copied.ID)
	if err := machine.Restore(copied.Snapshot); err != nil {
		rec.m.logStateError(copied.ID, err)
		return false
	}
	if lost {
		return rec.adoptAfterLoss(copied, machine)
	}
	return rec.withReplica(copied.ID, func(r *replica) bool {
		r.machine = machine
		r.base = copied.Base
		rec.markActivated(r, copied)
		return true
	})
}
