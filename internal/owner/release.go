package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"cowslipgw/internal/event"
	"cowslipgw/internal/partition"
	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
	"cowslipgw/internal/upstream"
)

const (
	// releaseInterval is the minimum time between two release orders for the same
	// program and replica.
	releaseInterval = 2 * time.Second
	// confirmAfter is how long after an accepted order a load report counts as
	// confirmation. Reports lag, so an earlier one may have been measured before the
	// order.
	confirmAfter = 5 * time.Second
	// orphanAfter is how long a replica may report memory of a nonexistent program
	// before the memory is released. Together with confirmAfter and the lag of reports
	// it stays below the 60 s of docs/design.md, section 5.4.
	orphanAfter = 30 * time.Second
	// orderTimeout bounds one order; orderWorkers bounds the orders sent concurrently.
	orderTimeout = 2 * time.Second
	orderWorkers = 8
)

// pendingRelease is memory of one program on one replica that must be released.
type pendingRelease struct {
	partition partition.ID
	replica   structs.ReplicaID
	number    uint64
	fence     uint64
	// orphan is set if no program has the number. An orphan's release needs no
	// confirmation.
	orphan bool
}

// releaseKey identifies a pendingRelease.
type releaseKey struct {
	replica structs.ReplicaID
	number  uint64
}

// releaseTracker records when release orders were sent and first accepted, and since
// when orphans have been reported. It is safe for concurrent use.
type releaseTracker struct {
	mu       sync.Mutex
	sent     map[releaseKey]time.Time
	accepted map[releaseKey]time.Time
	orphans  map[releaseKey]time.Time
}

func newReleaseTracker() *releaseTracker {
	return &releaseTracker{
		sent:     make(map[releaseKey]time.Time),
		accepted: make(map[releaseKey]time.Time),
		orphans:  make(map[releaseKey]time.Time),
	}
}

// pendingReleases returns the releases that a partition's state requires.
func pendingReleases(id partition.ID, state *program.State) []pendingRelease {
	var pending []pendingRelease
	for _, release := range state.Releases() {
		for _, number := range release.Numbers {
			pending = append(pending, pendingRelease{
				partition: id, replica: release.Replica, number: number, fence: state.Fence(),
			})
		}
	}
	return pending
}

// reportedPrograms returns, by partition, the programs whose memory replicas report to
// hold.
func (s *Sweeper) reportedPrograms() map[partition.ID][]releaseKey {
	reported := make(map[partition.ID][]releaseKey)
	all := make(map[releaseKey]bool)
	for _, replica := range s.options.Directory.All() {
		load, ok := s.options.Directory.Load(replica.ID)
		if !ok {
			continue
		}
		for _, number := range load.Programs {
			id := program.PartitionOf(number)
			key := releaseKey{replica.ID, number}
			reported[id] = append(reported[id], key)
			all[key] = true
		}
	}
	s.releases.pruneOrphans(all)
	return reported
}

// findOrphans returns the reported memory of programs that neither exist nor are
// already being released, once it has been reported for orphanAfter.
func (s *Sweeper) findOrphans(id partition.ID, state *program.State, reported []releaseKey) []pendingRelease {
	var found []pendingRelease
	now := time.Now()
	s.releases.mu.Lock()
	defer s.releases.mu.Unlock()
	for _, key := range reported {
		if state.Live(key.number) || state.Releasing(key.replica, key.number) {
			delete(s.releases.orphans, key)
			continue
		}
		since, seen := s.releases.orphans[key]
		if !seen {
			s.releases.orphans[key] = now
			continue
		}
		if now.Sub(since) >= orphanAfter {
			found = append(found, pendingRelease{
				partition: id, replica: key.replica, number: key.number, fence: state.Fence(), orphan: true,
			})
		}
	}
	return found
}

// processReleases sends the orders that are due and confirms the releases that have
// taken effect.
func (s *Sweeper) processReleases(ctx context.Context, pending []pendingRelease) {
	s.releases.pruneReleases(pending)
	if !s.options.Directory.Ready() {
		return
	}
	var group errgroup.Group
	group.SetLimit(orderWorkers)
	for _, p := range pending {
		group.Go(func() error {
			s.processRelease(ctx, p)
			return nil
		})
	}
	_ = group.Wait()
}

// processRelease confirms one release, or sends its order if it is due.
func (s *Sweeper) processRelease(ctx context.Context, p pendingRelease) {
	replica, found := s.options.Directory.Replica(p.replica)
	switch {
	case !found && !p.orphan:
		s.confirm(ctx, p, nil)
	case s.confirmed(p):
		s.confirm(ctx, p, []uint64{p.number})
	case found && s.releases.tryMarkSent(p):
		s.sendOrder(ctx, replica, p)
	}
}

// confirmed reports whether a sufficiently recent load report no longer lists the
// program.
func (s *Sweeper) confirmed(p pendingRelease) bool {
	if p.orphan {
		return false
	}
	accepted, ok := s.releases.acceptedAt(p)
	load, reported := s.options.Directory.Load(p.replica)
	return ok && reported && load.At.Sub(accepted) >= confirmAfter && !slices.Contains(load.Programs, p.number)
}

// confirm records that a replica no longer holds the program. Nil numbers mean that the
// whole replica is gone.
func (s *Sweeper) confirm(ctx context.Context, p pendingRelease, numbers []uint64) {
	s.propose(ctx, p.partition, func(state *program.State) ([]byte, error) {
		return state.DecideReleased(p.replica, numbers)
	})
}

// sendOrder orders a replica to release a program's memory.
func (s *Sweeper) sendOrder(ctx context.Context, replica upstream.Replica, p pendingRelease) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	order := upstream.Order{Kind: upstream.OrderRelease, Fence: p.fence, Program: p.number}
	if err := s.options.Orders.Order(ctx, replica.Address, order); err != nil {
		s.options.Logger.Log(event.ReleaseOrderFailed, event.Fields{
			"replica": p.replica, "program_number": p.number, "error": err.Error(),
		})
		return
	}
	s.releases.recordAccepted(p)
	if p.orphan {
		s.options.Logger.Log(event.OrphanReleased, event.Fields{"replica": p.replica, "program_number": p.number})
	}
}

func (p pendingRelease) key() releaseKey {
	return releaseKey{p.replica, p.number}
}

// tryMarkSent reports whether an order may be sent now, and if so records it as sent.
func (r *releaseTracker) tryMarkSent(p pendingRelease) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if last, sent := r.sent[p.key()]; sent && now.Sub(last) < releaseInterval {
		return false
	}
	r.sent[p.key()] = now
	return true
}

// recordAccepted records when a replica first accepted the order.
func (r *releaseTracker) recordAccepted(p pendingRelease) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, exists := r.accepted[p.key()]; !exists {
		r.accepted[p.key()] = time.Now()
	}
}

// acceptedAt returns when a replica first accepted the order.
func (r *releaseTracker) acceptedAt(p pendingRelease) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.accepted[p.key()]
	return at, ok
}

// pruneOrphans removes the orphans that are no longer reported.
func (r *releaseTracker) pruneOrphans(reported map[releaseKey]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key := range r.orphans {
		if !reported[key] {
			delete(r.orphans, key)
		}
	}
}

// pruneReleases removes the releases that are no longer pending.
func (r *releaseTracker) pruneReleases(pending []pendingRelease) {
	keep := make(map[releaseKey]bool, len(pending))
	for _, p := range pending {
		keep[p.key()] = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for key := range r.sent {
		if !keep[key] {
			delete(r.sent, key)
			delete(r.accepted, key)
		}
	}
}
