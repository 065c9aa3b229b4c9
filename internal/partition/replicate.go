package partition

import "cowslipgw/internal/fleet"

// maxBatchBytes limits the operations of one partition in one call. A single operation
// may exceed it.
const maxBatchBytes = 1 << 20

// batch is a sequence of pending operations that is being sent to the backups.
type batch struct {
	sender  Sender
	backups []fleet.Host
	item    ReplicateItem
	last    uint64
}

// startReplication starts sending a partition's pending operations.
func (m *Manager) startReplication(r *replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m.startReplicationLocked(r)
}

func (m *Manager) startReplicationLocked(r *replica) {
	if r.replicating {
		return
	}
	r.replicating = m.tasks.start(func() { m.replicate(r) })
}

// replicate sends the pending operations of a partition batch by batch, until none is
// left or this host no longer serves the partition. Operations proposed while a batch
// is in flight form the next batch.
func (m *Manager) replicate(r *replica) {
	backoff := minRetryBackoff
	for m.ctx.Err() == nil {
		b, ok := m.nextBatch(r)
		if !ok {
			return
		}
		if m.sendBatch(r, b) {
			backoff = minRetryBackoff
			continue
		}
		m.waitBackoff(m.ctx, backoff)
		backoff = min(2*backoff, maxRetryBackoff)
	}
}

func (m *Manager) nextBatch(r *replica) (batch, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	table := m.tableLocked()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.serving == 0 || r.serving != table.Number() || len(r.pending) == 0 {
		r.replicating = false
		return batch{}, false
	}
	b := batch{sender: m.senderLocked(), backups: table.Backups(r.id)}
	size, count := 0, 0
	for count < len(r.pending) && (count == 0 || size+len(r.pending[count]) <= maxBatchBytes) {
		size += len(r.pending[count])
		count++
	}
	ops := append([][]byte(nil), r.pending[:count]...)
	b.item = ReplicateItem{ID: r.id, Activated: r.base.Activated, First: r.acked + 1, Ops: ops}
	b.last = r.acked + uint64(count)
	return b, true
}

// sendBatch sends a batch to all backups and reports whether all of them have it.
func (m *Manager) sendBatch(r *replica, b batch) bool {
	results := make(chan bool, len(b.backups))
	for _, backup := range b.backups {
		m.peers.replicate(backup, b.sender, b.item, func(code Code) {
			if code != CodeGap && code != CodeStateError {
				results <- code == CodeOK
				return
			}
			if !m.tasks.start(func() { results <- m.reinstall(r, b, backup) }) {
				results <- false
			}
		})
	}
	all := true
	for range b.backups {
		all = <-results && all
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.base.Activated != b.item.Activated || r.acked >= b.last {
		return true
	}
	if !all {
		r.stalled = r.serving != 0
		return false
	}
	r.ackLocked(b.last)
	return true
}

// reinstall sends the complete state to a backup whose copy has a gap or rejected an
// operation.
func (m *Manager) reinstall(r *replica, b batch, backup fleet.Host) bool {
	item, ok := m.installItem(r, b.sender)
	if !ok {
		return false
	}
	request := InstallRequest{From: b.sender, Items: []InstallItem{item}}
	codes := m.callCodes(m.ctx, backup, "Partition.Install", &request, 1, transferTimeout)
	return codes[0] == CodeOK
}

// installItem returns the owner's current state of a partition.
func (m *Manager) installItem(r *replica, sender Sender) (InstallItem, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.numberLocked() != sender.View || r.machine == nil || r.base.Activated > sender.View {
		return InstallItem{}, false
	}
	snapshot, err := r.machine.Snapshot()
	if err != nil {
		m.logStateError(r.id, err)
		return InstallItem{}, false
	}
	return InstallItem{ID: r.id, Activated: r.base.Activated, Seq: r.base.Seq, Lineage: r.lineage, Snapshot: snapshot}, true
}
