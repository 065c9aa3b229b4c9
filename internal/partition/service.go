package partition

import "cowslipgw/internal/event"

// ServiceName is the name under which the service is registered.
const ServiceName = "Partition"

// maxFetchBytes limits the snapshots in one Fetch reply.
const maxFetchBytes = 8 << 20

// Service handles the calls of other managers over net/rpc.
type Service struct {
	manager *Manager
}

// NewService returns the RPC service of a manager.
func NewService(manager *Manager) *Service {
	return &Service{manager: manager}
}

// forEachItem calls work for each item under the manager's and the replica's lock, but
// only for partitions that the sender owns in the receiver's current view.
func (s *Service) forEachItem(from Sender, count int, id func(int) ID, work func(int, *replica) Code) []Code {
	m := s.manager
	m.awaitView(from.View)
	codes := make([]Code, count)
	for i := range codes {
		codes[i] = s.withOwnedReplica(from, id(i), func(r *replica) Code { return work(i, r) })
	}
	return codes
}

// withOwnedReplica calls work under the locks if the sender owns the partition and this
// host is a backup.
func (s *Service) withOwnedReplica(from Sender, id ID, work func(*replica) Code) Code {
	m := s.manager
	m.mu.RLock()
	defer m.mu.RUnlock()
	if code := m.verifyLocked(from); code != CodeOK {
		return code
	}
	if id >= Count || !m.tableLocked().ownedBy(id, from.Host) || !m.isReplicaLocked(id) || from.Host == m.self {
		return CodeNotOwner
	}
	r := m.replicas[id]
	r.mu.Lock()
	defer r.mu.Unlock()
	return work(r)
}

// Replicate applies operations at a backup.
func (s *Service) Replicate(request *ReplicateRequest, reply *CodesReply) error {
	id := func(i int) ID { return request.Items[i].ID }
	reply.Codes = s.forEachItem(request.From, len(request.Items), id, func(i int, r *replica) Code {
		return s.manager.applyLocked(r, &request.Items[i])
	})
	return nil
}

// applyLocked applies the operations that the copy does not have yet.
func (m *Manager) applyLocked(r *replica, item *ReplicateItem) Code {
	if r.machine == nil || r.base.Activated != item.Activated || item.First > r.base.Seq+1 {
		return CodeGap
	}
	for i, op := range item.Ops {
		seq := item.First + uint64(i)
		if seq <= r.base.Seq {
			continue
		}
		if err := r.machine.Apply(op); err != nil {
			m.logStateError(r.id, err)
			return CodeStateError
		}
		r.base.Seq = seq
	}
	return CodeOK
}

// Activate activates copies that equal the owner's. A partition that has never held any
// state needs no copy.
func (s *Service) Activate(request *ActivateRequest, reply *CodesReply) error {
	id := func(i int) ID { return request.Items[i].ID }
	reply.Codes = s.forEachItem(request.From, len(request.Items), id, func(i int, r *replica) Code {
		item := &request.Items[i]
		if r.base.Activated == request.From.View && r.machine != nil {
			return CodeOK
		}
		if r.base != item.Base {
			return CodeNeedInstall
		}
		if r.machine == nil {
			if item.Base != (Base{}) {
				return CodeNeedInstall
			}
			r.machine = s.manager.config.NewMachine(r.id)
		}
		r.activateLocked(request.From.View, item.Lineage)
		return CodeOK
	})
	return nil
}

// Install replaces copies with the owner's state. A state older than the copy arrived
// late and is ignored.
func (s *Service) Install(request *InstallRequest, reply *CodesReply) error {
	id := func(i int) ID { return request.Items[i].ID }
	reply.Codes = s.forEachItem(request.From, len(request.Items), id, func(i int, r *replica) Code {
		return s.manager.installLocked(r, request.From, &request.Items[i])
	})
	return nil
}

func (m *Manager) installLocked(r *replica, from Sender, item *InstallItem) Code {
	state := Base{Activated: item.Activated, Seq: item.Seq}
	if r.machine != nil && !r.base.Before(state) {
		return CodeOK
	}
	machine := m.config.NewMachine(r.id)
	if err := machine.Restore(item.Snapshot); err != nil {
		m.logStateError(r.id, err)
		return CodeStateError
	}
	r.machine = machine
	r.base = state
	r.valid = from.View
	r.lineage = item.Lineage
	return CodeOK
}

// Fetch returns the copies that this host has. By replying, the host promises not to
// acknowledge operations of views before the sender's.
func (s *Service) Fetch(request *FetchRequest, reply *FetchReply) error {
	m := s.manager
	m.awaitView(request.From.View)
	m.mu.RLock()
	defer m.mu.RUnlock()
	reply.Code = m.verifyLocked(request.From)
	if reply.Code != CodeOK {
		return nil
	}
	size := 0
	for _, id := range request.IDs {
		if id >= Count || size >= maxFetchBytes {
			break
		}
		if copied, found := m.copyOfReplica(m.replicas[id], request.Snapshots); found {
			size += len(copied.Snapshot)
			reply.Copies = append(reply.Copies, copied)
		}
	}
	return nil
}

func (m *Manager) copyOfReplica(r *replica, snapshot bool) (Copy, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.machine == nil {
		return Copy{}, false
	}
	copied := Copy{ID: r.id, Base: r.base, Valid: r.valid, Lineage: r.lineage}
	if !snapshot {
		return copied, true
	}
	var err error
	if copied.Snapshot, err = r.machine.Snapshot(); err != nil {
		m.logStateError(r.id, err)
		return Copy{}, false
	}
	return copied, true
}

func (m *Manager) logStateError(id ID, err error) {
	m.config.Logger.Log(event.PartitionApplyFailed, event.Fields{"partition": id, "error": err.Error()})
}

// Release drops copies that are no longer needed.
func (s *Service) Release(request *ReleaseRequest, _ *struct{}) error {
	s.manager.awaitView(request.From.View)
	s.manager.applyRelease(request.From.View, request.Items)
	return nil
}

// Status returns which of the partitions are active at this host as their owner.
func (s *Service) Status(request *StatusRequest, reply *StatusReply) error {
	m := s.manager
	m.mu.RLock()
	defer m.mu.RUnlock()
	reply.View = m.numberLocked()
	for _, id := range request.IDs {
		if id < Count {
			if item, active := m.activeLocked(m.replicas[id]); active {
				reply.Items = append(reply.Items, item)
			}
		}
	}
	return nil
}
