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
	rec := &recovery{
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
	rec.ctx, rec.cancel = context.WithCancel(ctx)
	for id, r := range m.replicas {
		if member && rec.table.ownedBy(ID(id), m.self) && !r.isServing(rec.table.Number()) {
			rec.remaining[ID(id)] = true
		}
	}
	m.tasks.start(rec.run)
	return rec
}

func (r *replica) isServing(view structs.ViewNumber) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.serving == view
}

// stop cancels the recovery. Steps still in progress have no effect, since each checks
// the view under the lock.
func (rec *recovery) stop() {
	if rec != nil {
		rec.cancel()
	}
}

func (rec *recovery) run() {
	defer rec.cancel()
	count := len(rec.remaining)
	backoff := minRetryBackoff
	for rec.ctx.Err() == nil {
		ids := rec.remainingIDs()
		if len(ids) == 0 {
			break
		}
		rec.activate(rec.collectStates(ids))
		rec.sendReleases()
		if len(rec.remainingIDs()) > 0 {
			rec.m.waitBackoff(rec.ctx, backoff)
			backoff = min(2*backoff, maxRetryBackoff)
		}
	}
	if count > 0 && rec.ctx.Err() == nil {
		rec.m.config.Logger.Log(event.PartitionRecovered, event.Fields{
			"view": rec.table.Number(), "partitions": count, "took_ms": time.Since(rec.started).Milliseconds(),
		})
	}
}

// remainingIDs returns the partitions that are not active yet, in order.
func (rec *recovery) remainingIDs() []ID {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	ids := make([]ID, 0, len(rec.remaining))
	for id := range ID(Count) {
		if rec.remaining[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// collectStates brings the newest state of the partitions to this host and returns the
// partitions for which it succeeded.
func (rec *recovery) collectStates(ids []ID) []ID {
	var ready []ID
	surveys := make(map[ID]*survey)
	for _, id := range ids {
		if rec.activateAuthoritative(id) {
			rec.queueFormerReplicaRelease(id)
			ready = append(ready, id)
			continue
		}
		surveys[id] = rec.ownSurvey(id)
	}
	rec.fetchCopies(surveys, func(id ID) []fleet.Host { return candidates(id, rec.history, rec.m.self) })
	found, lost, unknown := rec.classifySurveys(surveys)
	if len(unknown) > 0 {
		all := rec.otherHosts()
		rec.fetchCopies(unknown, func(ID) []fleet.Host { return all })
		moreFound, moreLost, undetermined := rec.classifySurveys(unknown)
		found = append(found, moreFound...)
		lost = append(lost, moreLost...)
		for _, s := range undetermined {
			if len(s.answered) == len(all)+1 {
				lost = append(lost, s)
			}
		}
	}
	return append(ready, rec.adoptStates(found, lost)...)
}

// classifySurveys groups the surveys by result. Surveys that still lack a reply are in
// none of the groups and are retried in the next round.
func (rec *recovery) classifySurveys(surveys map[ID]*survey) (found, lost []*survey, unknown map[ID]*survey) {
	unknown = make(map[ID]*survey)
	for id, s := range surveys {
		switch s.evaluate(rec.history, rec.fromStart) {
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

// activateAuthoritative activates this host's own copy if it is authoritative, that is,
// if no other host can have a newer state. It reports whether it did.
func (rec *recovery) activateAuthoritative(id ID) bool {
	return rec.withReplica(id, func(r *replica) bool {
		if !r.authoritative {
			return false
		}
		if r.base.Activated != rec.table.Number() {
			r.activateLocked(rec.table.Number(), appendLineage(r.lineage, r.base))
		}
		return true
	})
}

// withReplica calls work under the locks and returns its result. If the recovery's view
// is no longer current, it returns false without calling work.
func (rec *recovery) withReplica(id ID, work func(*replica) bool) bool {
	rec.m.mu.RLock()
	defer rec.m.mu.RUnlock()
	if rec.m.numberLocked() != rec.sender.View || rec.m.incarnation != rec.sender.Incarnation {
		return false
	}
	r := rec.m.replicas[id]
	r.mu.Lock()
	defer r.mu.Unlock()
	return work(r)
}

// ownSurvey starts a survey with this host's own copy.
func (rec *recovery) ownSurvey(id ID) *survey {
	s := newSurvey(id)
	s.answered[rec.m.self] = true
	if own, found := rec.m.copyOfReplica(rec.m.replicas[id], false); found {
		s.add(rec.m.self, own)
	}
	return s
}

func (rec *recovery) otherHosts() []fleet.Host {
	var hosts []fleet.Host
	for _, host := range rec.table.View().Hosts {
		if host.ID != rec.m.self {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// fetchCopies asks the hosts of each survey for descriptions of their copies, with one
// call per host.
func (rec *recovery) fetchCopies(surveys map[ID]*survey, hostsOf func(ID) []fleet.Host) {
	byHost := make(map[fleet.Host][]ID)
	for id := range ID(Count) {
		if s := surveys[id]; s != nil {
			for _, host := range hostsOf(id) {
				byHost[host] = append(byHost[host], id)
			}
		}
	}
	var mu sync.Mutex
	rec.m.forEachHost(byHost, func(host fleet.Host, ids []ID) {
		var reply FetchReply
		err := rec.m.call(rec.ctx, host, "Partition.Fetch", &FetchRequest{From: rec.sender, IDs: ids}, &reply, callTimeout)
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
