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
	// releaseRepeat is the time between two orders for the same program and replica.
	releaseRepeat = 2 * time.Second
	// confirmAfter is how long after an accepted order a report counts as a confirmation.
	// Reports lag, so an earlier one may have been measured before the order.
	confirmAfter = 5 * time.Second
	// orphanAfter is how long a replica may report memory of a program that does not
	// exist before it is released. With confirmAfter and the lag of reports it stays
	// below the 60 s of docs/design.md, section 5.4.
	orphanAfter = 30 * time.Second
	// orderTimeout bounds one order, orderWorkers how many are sent at the same time.
	orderTimeout = 2 * time.Second
	orderWorkers = 8
)

// pendingRelease is the memory of one program at one replica that must go.
type pendingRelease struct {
	partition partition.ID
	replica   structs.ReplicaID
	number    uint64
	fence     uint64
	// orphan is set when no program has the number and nothing needs to be confirmed.
	orphan bool
}

// releaseKey names a pendingRelease.
type releaseKey struct {
	replica structs.ReplicaID
	number  uint64
}

// releases remembers what was ordered and since when orphans are reported. It is
// safe for concurrent use.
type releases struct {
	mu       sync.Mutex
	sent     map[releaseKey]time.Time
	accepted map[releaseKey]time.Time
	orphans  map[releaseKey]time.Time
}

func newReleases() *releases {
	return &releases{
		sent:     make(map[releaseKey]time.Time),
		accepted: make(map[releaseKey]time.Time),
		orphans:  make(map[releaseKey]time.Time),
	}
}

// pendingOf lists what a partition's state says must be released.
func pendingOf(id partition.ID, state *program.State) []pendingRelease {
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

// reportedPrograms returns, by partition, the programs that replicas report to hold.
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
	s.releases.keepOrphans(all)
	return reported
}

// orphans lists reported memory of programs that do not exist and are not about to be
// released anyway.
func (s *Sweeper) orphans(id partition.ID, state *program.State, reported []releaseKey) []pendingRelease {
	var found []pendingRelease
	now := time.Now()
	s.releases.mu.Lock()
	defer s.releases.mu.Unlock()
	for _, key := range reported {
		if state.Live(key.number) || state.Releasing(key.replica, key.number) {
			delete(s.releases.orphans, key)
			continue
		}
		since, known := s.releases.orphans[key]
		if !known {
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

// release sends the orders that are due and confirms those that took effect.
func (s *Sweeper) release(ctx context.Context, pending []pendingRelease) {
	s.releases.forgetOthers(pending)
	if !s.options.Directory.Ready() {
		return
	}
	var group errgroup.Group
	group.SetLimit(orderWorkers)
	for _, p := range pending {
		group.Go(func() error {
			s.releaseOne(ctx, p)
			return nil
		})
	}
	_ = group.Wait()
}

func (s *Sweeper) releaseOne(ctx context.Context, p pendingRelease) {
	replica, known := s.options.Directory.Replica(p.replica)
	switch {
	case !known && !p.orphan:
		s.confirm(ctx, p, nil)
	case s.confirmed(p):
		s.confirm(ctx, p, []uint64{p.number})
	case known && s.releases.due(p):
		s.order(ctx, replica, p)
	}
}

// confirmed reports whether a report that is new enough no longer shows the program.
func (s *Sweeper) confirmed(p pendingRelease) bool {
	if p.orphan {
		return false
	}
	accepted, ok := s.releases.acceptedAt(p)
	load, reported := s.options.Directory.Load(p.replica)
	return ok && reported && load.At.Sub(accepted) >= confirmAfter && !slices.Contains(load.Programs, p.number)
}

// confirm records that a replica holds the program no more; nil numbers mean that the
// whole replica is gone.
func (s *Sweeper) confirm(ctx context.Context, p pendingRelease, numbers []uint64) {
	s.propose(ctx, p.partition, func(state *program.State) ([]byte, error) {
		return state.DecideReleased(p.replica, numbers)
	})
}

// order tells a replica to release a program's memory.
func (s *Sweeper) order(ctx context.Context, replica upstream.Replica, p pendingRelease) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	order := upstream.Order{Kind: upstream.OrderRelease, Fence: p.fence, Program: p.number}
	if err := s.options.Orders.Order(ctx, replica.Address, order); err != nil {
		s.options.Logger.Log(event.ReleaseFailed, event.Fields{
			"replica": p.replica, "program_number": p.number, "error": err.Error(),
		})
		return
	}
	s.releases.accept(p)
	if p.orphan {
		s.options.Logger.Log(event.OrphanReleased, event.Fields{"replica": p.replica, "program_number": p.number})
	}
}

func (p pendingRelease) key() releaseKey {
	return releaseKey{p.replica, p.number}
}

// due reports whether an order may be sent now, and notes that it is.
func (r *releases) due(p pendingRelease) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if last, sent := r.sent[p.key()]; sent && now.Sub(last) < releaseRepeat {
		return false
	}
	r.sent[p.key()] = now
	return true
}

// accept notes when a replica first took the order.
func (r *releases) accept(p pendingRelease) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.accepted[p.key()]; !known {
		r.accepted[p.key()] = time.Now()
	}
}

func (r *releases) acceptedAt(p pendingRelease) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.accepted[p.key()]
	return at, ok
}

// keepOrphans drops what is known of orphans that are not reported any more.
func (r *releases) keepOrphans(reported map[releaseKey]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key := range r.orphans {
		if !reported[key] {
			delete(r.orphans, key)
		}
	}
}

// forgetOthers drops what is known of releases that are not pending any more.
func (r *releases) forgetOthers(pending []pendingRelease) {
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
