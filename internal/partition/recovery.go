package partition

import (
	"context"
	"sync"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/fleet"
	"cowslipgw/internal/structs"
)

// recovery activates the partitions that this host owns in one view and does not serve
// yet. The next view stops it and starts a new recovery.
type recovery struct {
	m         *Manager
	ctx       context.Context
	cancel    context.CancelFunc
	sender    Sender
	table     *Table
	history   []*Table
	fromStart bool

	mu sync.Mutex
	// remaining holds the partitions that are not active yet.
	remaining map[ID]bool
	// releases holds, by host, the partitions whose former copies can be dropped once
	// the partition is active.
	releases map[structs.HostID][]ID
	lost     int
	started  time.Time
}

// startRecovery starts the recovery of the partitions that this host owns in the
// current view.
func (m *Manager) startRecovery(ctx context.Context) *recovery {
	m.mu.RLock()
	v := &recovery{
		m:         m,
		sender:    m.senderLocked(),
		table:     m.tableLocked(),
		history:   m.history,
		fromStart: m.fromStart,
		remaining: make(map[ID]bool),
		releases:  make(map[structs.HostID][]ID),
		started:   time.Now(),
	}
	member := m.incarnation != 0
	m.mu.RUnlock()
	v.ctx, v.cancel = context.WithCancel(ctx)
	for id, r := range m.replicas {
		if member && v.table.ownedBy(ID(id), m.self) && !r.isServing(v.table.Number()) {
			v.remaining[ID(id)] = true
		}
	}
	m.tasks.start(v.run)
	return v
}

func (r *replica) isServing(view structs.ViewNumber) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.serving == view
}

// stop cancels the recovery. Steps still in progress have no effect, since each checks
// the view under the lock.
func (v *recovery) stop() {
	if v != nil {
		v.cancel()
	}
}

func (v *recovery) run() {
	defer v.cancel()
	count := len(v.remaining)
	backoff := minRetryBackoff
	for v.ctx.Err() == nil {
		ids := v.remainingIDs()
		if len(ids) == 0 {
			break
		}
		v.activate(v.collectStates(ids))
		v.sendReleases()
		if len(v.remainingIDs()) > 0 {
			v.m.waitBackoff(v.ctx, backoff)
			backoff = min(2*backoff, maxRetryBackoff)
		}
	}
	if count > 0 && v.ctx.Err() == nil {
		v.m.config.Logger.Log(event.PartitionRecovered, event.Fields{
			"view": v.table.Number(), "partitions": count, "took_ms": time.Since(v.started).Milliseconds(),
		})
	}
}

// remainingIDs returns the partitions that are not active yet, in order.
func (v *recovery) remainingIDs() []ID {
	v.mu.Lock()
	defer v.mu.Unlock()
	ids := make([]ID, 0, len(v.remaining))
	for id := range ID(Count) {
		if v.remaining[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// collectStates brings the newest state of the partitions to this host and returns the
// partitions for which it succeeded.
func (v *recovery) collectStates(ids []ID) []ID {
	var ready []ID
	surveys := make(map[ID]*survey)
	for _, id := range ids {
		if v.activateAuthoritative(id) {
			v.queueFormerReplicaRelease(id)
			ready = append(ready, id)
			continue
		}
		surveys[id] = v.ownSurvey(id)
	}
	v.fetchCopies(surveys, func(id ID) []fleet.Host { return candidates(id, v.history, v.m.self) })
	found, lost, unknown := v.classifySurveys(surveys)
	if len(unknown) > 0 {
		all := v.otherHosts()
		v.fetchCopies(unknown, func(ID) []fleet.Host { return all })
		moreFound, moreLost, still := v.classifySurveys(unknown)
		found = append(found, moreFound...)
		lost = append(lost, moreLost...)
		for _, s := range still {
			if len(s.answered) == len(all)+1 {
				lost = append(lost, s)
			}
		}
	}
	return append(ready, v.adoptStates(found, lost)...)
}

// classifySurveys groups the surveys by result. Surveys that still lack a reply are in
// none of the groups and are retried in the next round.
func (v *recovery) classifySurveys(surveys map[ID]*survey) (found, lost []*survey, unknown map[ID]*survey) {
	unknown = make(map[ID]*survey)
	for id, s := range surveys {
		switch s.evaluate(v.history, v.fromStart) {
		case resultFound:
			found = append(found, s)
		case resultLost:
			lost = append(lost, s)
		case resultUnknown:
			unknown[id] = s
		}
	}
	return found, lost, unknown
}

// activateAuthoritative activates this host's own copy if it is authoritative, so that
// no other host can have a newer state.
func (v *recovery) activateAuthoritative(id ID) bool {
	return v.withReplica(id, func(r *replica) bool {
		if !r.authoritative {
			return false
		}
		if r.base.Activated != v.table.Number() {
			r.activateLocked(v.table.Number(), appendLineage(r.lineage, r.base))
		}
		return true
	})
}

// withReplica calls work under the locks if the recovery's view is still current.
func (v *recovery) withReplica(id ID, work func(*replica) bool) bool {
	v.m.mu.RLock()
	defer v.m.mu.RUnlock()
	if v.m.numberLocked() != v.sender.View || v.m.incarnation != v.sender.Incarnation {
		return false
	}
	r := v.m.replicas[id]
	r.mu.Lock()
	defer r.mu.Unlock()
	return work(r)
}

// ownSurvey starts a survey with this host's own copy.
func (v *recovery) ownSurvey(id ID) *survey {
	s := newSurvey(id)
	s.answered[v.m.self] = true
	if own, found := v.m.copyOfReplica(v.m.replicas[id], false); found {
		s.add(v.m.self, own)
	}
	return s
}

func (v *recovery) otherHosts() []fleet.Host {
	var hosts []fleet.Host
	for _, host := range v.table.View().Hosts {
		if host.ID != v.m.self {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// fetchCopies asks the hosts of each survey for descriptions of their copies, with one
// call per host.
func (v *recovery) fetchCopies(surveys map[ID]*survey, hostsOf func(ID) []fleet.Host) {
	byHost := make(map[fleet.Host][]ID)
	for id := range ID(Count) {
		if s := surveys[id]; s != nil {
			for _, host := range hostsOf(id) {
				byHost[host] = append(byHost[host], id)
			}
		}
	}
	var mu sync.Mutex
	v.m.forEachHost(byHost, func(host fleet.Host, ids []ID) {
		var reply FetchReply
		err := v.m.call(v.ctx, host, "Partition.Fetch", &FetchRequest{From: v.sender, IDs: ids}, &reply, callTimeout)
		if err != nil || reply.Code != CodeOK {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		for _, id := range ids {
			surveys[id].answered[host.ID] = true
		}
		for _, found := range reply.Copies {
			if s := surveys[found.ID]; s != nil {
				s.add(host.ID, found)
			}
		}
	})
}

// maxTransfers is the maximum number of hosts that a recovery calls concurrently.
const maxTransfers = 64

// forEachHost calls work for each host, with at most maxTransfers calls at a time.
func (m *Manager) forEachHost(byHost map[fleet.Host][]ID, work func(fleet.Host, []ID)) {
	slots := make(chan struct{}, maxTransfers)
	var done sync.WaitGroup
	for host, ids := range byHost {
		slots <- struct{}{}
		done.Go(func() {
			defer func() { <-slots }()
			work(host, ids)
		})
	}
	done.Wait()
}
