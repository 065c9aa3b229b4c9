package partition

import (
	"sync"

	"cowslipgw/internal/fleet"
	"cowslipgw/internal/structs"
)

// maxInstallBytes limits the snapshots in one Install call. A single snapshot may
// exceed it.
const maxInstallBytes = 8 << 20

// pendingActivations counts, per partition, the backups that have not activated it yet.
type pendingActivations struct {
	mu          sync.Mutex
	unconfirmed map[ID]int
}

// confirm records the activation at one backup and reports whether it was the last one.
func (a *pendingActivations) confirm(id ID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unconfirmed[id]--
	return a.unconfirmed[id] == 0
}

// activate brings the backups of the partitions to this host's state and starts serving
// each partition as soon as all of its backups have it.
func (rec *recovery) activate(ids []ID) {
	pending := &pendingActivations{unconfirmed: make(map[ID]int)}
	byHost := make(map[fleet.Host][]ID)
	for _, id := range ids {
		backups := rec.table.Backups(id)
		pending.unconfirmed[id] = len(backups)
		for _, backup := range backups {
			byHost[backup] = append(byHost[backup], id)
		}
		if len(backups) == 0 {
			rec.startServing(id)
		}
	}
	rec.m.forEachHost(byHost, func(backup fleet.Host, ids []ID) {
		rec.activateAt(backup, ids, func(id ID) {
			if pending.confirm(id) {
				rec.startServing(id)
			}
		})
	})
}

// activateAt activates the partitions at one backup and installs the state where the
// backup does not have it.
func (rec *recovery) activateAt(backup fleet.Host, ids []ID, confirm func(ID)) {
	request := ActivateRequest{From: rec.sender}
	for _, id := range ids {
		request.Items = append(request.Items, rec.activateItem(id))
	}
	codes := rec.m.callCodes(rec.ctx, backup, "Partition.Activate", &request, len(ids), callTimeout)
	var install []ID
	for i, id := range ids {
		switch codes[i] {
		case CodeOK:
			confirm(id)
		case CodeNeedInstall:
			install = append(install, id)
		}
	}
	for len(install) > 0 && rec.ctx.Err() == nil {
		install = rec.installBatch(backup, install, confirm)
	}
}

// activateItem returns the activation request for a partition, with the base from which
// this host's copy was activated.
func (rec *recovery) activateItem(id ID) ActivateItem {
	r := rec.m.replicas[id]
	r.mu.Lock()
	defer r.mu.Unlock()
	item := ActivateItem{ID: id, Lineage: r.lineage}
	switch {
	case r.forceInstall:
		item.Base = unmatchedBase
	case len(r.lineage) > 0:
		item.Base = r.lineage[len(r.lineage)-1]
	}
	return item
}

// installBatch installs the first of the partitions, up to the size limit of one call,
// and returns the rest.
func (rec *recovery) installBatch(backup fleet.Host, ids []ID, confirm func(ID)) []ID {
	request := InstallRequest{From: rec.sender}
	size, next := 0, 0
	for next < len(ids) && size < maxInstallBytes {
		item, ok := rec.m.installItem(rec.m.replicas[ids[next]], rec.sender)
		next++
		if !ok {
			continue
		}
		size += len(item.Snapshot)
		request.Items = append(request.Items, item)
	}
	codes := rec.m.callCodes(rec.ctx, backup, "Partition.Install", &request, len(request.Items), transferTimeout)
	for i, code := range codes {
		if code == CodeOK {
			confirm(request.Items[i].ID)
		}
	}
	return ids[next:]
}

// startServing starts serving a partition whose backups all have its state, and removes
// it from the remaining ones.
func (rec *recovery) startServing(id ID) {
	rec.withReplica(id, func(r *replica) bool {
		if r.serving == rec.table.Number() || r.base.Activated != rec.table.Number() {
			return false
		}
		r.serving = rec.table.Number()
		r.forceInstall = false
		r.acked = r.base.Seq
		r.pending = nil
		r.pendingBytes = 0
		r.stalled = false
		r.resolveLocked(appendLineage(r.lineage, r.base))
		rec.m.config.OnActivated(id, r.machine)
		r.notifyLocked()
		return true
	})
	rec.mu.Lock()
	defer rec.mu.Unlock()
	delete(rec.remaining, id)
}

// sendReleases tells the hosts that had copies which partitions are active now. A host
// that misses the message polls the owner later.
func (rec *recovery) sendReleases() {
	byHost := make(map[fleet.Host][]ID)
	rec.mu.Lock()
	for id, ids := range rec.releases {
		host, found := rec.table.View().Find(id)
		var later []ID
		for _, partition := range ids {
			if rec.remaining[partition] {
				later = append(later, partition)
			} else if found {
				byHost[host] = append(byHost[host], partition)
			}
		}
		rec.releases[id] = later
	}
	rec.mu.Unlock()
	for host, ids := range byHost {
		rec.m.tasks.start(func() { rec.m.sendRelease(host, rec.sender, ids) })
	}
}

func (m *Manager) sendRelease(host fleet.Host, sender Sender, ids []ID) {
	request := ReleaseRequest{From: sender}
	for _, id := range ids {
		if item, active := m.activeItem(id, sender.View); active {
			request.Items = append(request.Items, item)
		}
	}
	var reply struct{}
	_ = m.call(m.ctx, host, "Partition.Release", &request, &reply, callTimeout)
}

// activeItem describes a partition if this host serves it in the view.
func (m *Manager) activeItem(id ID, view structs.ViewNumber) (ReleaseItem, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if m.numberLocked() != view {
		return ReleaseItem{}, false
	}
	return m.activeLocked(m.replicas[id])
}
