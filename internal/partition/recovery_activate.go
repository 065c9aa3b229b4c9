package partition

import (
	"sync"

	"cowslipgw/internal/fleet"
	"cowslipgw/internal/structs"
)

// maxInstallBytes bounds the snapshots in one Install call. A single snapshot may be
// longer.
const maxInstallBytes = 8 << 20

// activation counts the backups that have not activated a partition yet.
type activation struct {
	mu      sync.Mutex
	missing map[ID]int
}

// confirm counts one backup and reports whether it was the last one.
func (a *activation) confirm(id ID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.missing[id]--
	return a.missing[id] == 0
}

// activate brings the backups of the partitions to this host's state and starts to
// serve each partition as soon as all of its backups have it.
func (v *recovery) activate(ids []ID) {
	waiting := &activation{missing: make(map[ID]int)}
	byHost := make(map[fleet.Host][]ID)
	for _, id := range ids {
		backups := v.table.Backups(id)
		waiting.missing[id] = len(backups)
		for _, backup := range backups {
			byHost[backup] = append(byHost[backup], id)
		}
		if len(backups) == 0 {
			v.serve(id)
		}
	}
	v.m.forEachHost(byHost, func(backup fleet.Host, ids []ID) {
		v.activateAt(backup, ids, func(id ID) {
			if waiting.confirm(id) {
				v.serve(id)
			}
		})
	})
}

// activateAt activates the partitions at one backup, and installs the state where
// the backup does not have it.
func (v *recovery) activateAt(backup fleet.Host, ids []ID, confirm func(ID)) {
	request := ActivateRequest{From: v.sender}
	for _, id := range ids {
		request.Items = append(request.Items, v.activateItem(id))
	}
	codes := v.m.callCodes(v.ctx, backup, "Partition.Activate", &request, len(ids), callTimeout)
	var install []ID
	for i, id := range ids {
		switch codes[i] {
		case CodeOK:
			confirm(id)
		case CodeNeedInstall:
			install = append(install, id)
		}
	}
	for len(install) > 0 && v.ctx.Err() == nil {
		install = v.installSome(backup, install, confirm)
	}
}

// activateItem names the base from which this host's copy was activated.
func (v *recovery) activateItem(id ID) ActivateItem {
	r := v.m.replicas[id]
	r.mu.Lock()
	defer r.mu.Unlock()
	item := ActivateItem{ID: id, Lineage: r.lineage}
	switch {
	case r.forced:
		item.Base = noEqual
	case len(r.lineage) > 0:
		item.Base = r.lineage[len(r.lineage)-1]
	}
	return item
}

// installSome installs the first of the partitions, up to the limit of one call,
// and returns the rest.
func (v *recovery) installSome(backup fleet.Host, ids []ID, confirm func(ID)) []ID {
	request := InstallRequest{From: v.sender}
	size, next := 0, 0
	for next < len(ids) && size < maxInstallBytes {
		item, ok := v.m.installItem(v.m.replicas[ids[next]], v.sender)
		next++
		if !ok {
			continue
		}
		size += len(item.Snapshot)
		request.Items = append(request.Items, item)
	}
	codes := v.m.callCodes(v.ctx, backup, "Partition.Install", &request, len(request.Items), transferTimeout)
	for i, code := range codes {
		if code == CodeOK {
			confirm(request.Items[i].ID)
		}
	}
	return ids[next:]
}

// serve starts to serve a partition whose backups all have its state.
func (v *recovery) serve(id ID) {
	v.withReplica(id, func(r *replica) bool {
		if r.serving == v.table.Number() || r.base.Activated != v.table.Number() {
			return false
		}
		r.serving = v.table.Number()
		r.forced = false
		r.acked = r.base.Seq
		r.pending = nil
		r.pendingBytes = 0
		r.stalled = false
		r.resolveLocked(extend(r.lineage, r.base))
		v.m.config.Activated(id, r.machine)
		r.wakeLocked()
		return true
	})
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.remaining, id)
}

// sendReleases tells the hosts that had copies which partitions are active now. A
// host that misses it asks later.
func (v *recovery) sendReleases() {
	byHost := make(map[fleet.Host][]ID)
	v.mu.Lock()
	for id, ids := range v.release {
		host, found := v.table.View().Find(id)
		var later []ID
		for _, partition := range ids {
			if v.remaining[partition] {
				later = append(later, partition)
			} else if found {
				byHost[host] = append(byHost[host], partition)
			}
		}
		v.release[id] = later
	}
	v.mu.Unlock()
	for host, ids := range byHost {
		v.m.work.start(func() { v.m.sendRelease(host, v.sender, ids) })
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
