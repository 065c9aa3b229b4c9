package owner

import (
	"context"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/fleet"
	"cowslipgw/internal/partition"
	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
	"cowslipgw/internal/upstream"
)

const (
	// sweepInterval is the time between two sweeps while the view does not change.
	sweepInterval = time.Second
	// expireInterval is the time between two checks for idle programs and expired
	// claims, and between two audits of open calls.
	expireInterval = 10 * time.Second
	// sweepTimeout bounds one operation of a sweep; the next sweep retries it.
	sweepTimeout = 3 * time.Second
)

// OwnedPartitions provides the partitions that this host serves as their owner.
type OwnedPartitions interface {
	// Visit calls the function for each partition under that partition's lock. The
	// function must not change the state.
	Visit(func(partition.ID, partition.StateMachine))
}

// Replicas provides the upstream replicas and their load reports.
type Replicas interface {
	// Ready reports whether the host list has been read at least once.
	Ready() bool
	All() []upstream.Replica
	Replica(structs.ReplicaID) (upstream.Replica, bool)
	// Load returns the newest report. Its field At is the time at which this host
	// requested it.
	Load(structs.ReplicaID) (upstream.Load, bool)
}

// Orders sends orders to engines.
type Orders interface {
	Order(ctx context.Context, address string, order upstream.Order) error
}

// SweeperOptions configures a Sweeper.
type SweeperOptions struct {
	// Control sends calls to other hosts.
	Control   fleet.Caller
	Directory Replicas
	Orders    Orders
	Logger    *event.Logger
}

// Sweeper does the periodic work of an owner that no request triggers: it ends the
// calls of hosts that have left the view, expires idle programs and old claims, and
// orders engines to release the memory of programs that no longer exist.
type Sweeper struct {
	service    *Service
	options    SweeperOptions
	releases   *releaseTracker
	lastExpiry time.Time
}

// NewSweeper returns a sweeper for the partitions of a service.
func NewSweeper(service *Service, options SweeperOptions) *Sweeper {
	return &Sweeper{service: service, options: options, releases: newReleaseTracker()}
}

// pendingWork is the work that one pass over the owned partitions found to be due.
type pendingWork struct {
	abandoned, expired []partition.ID
	releases           []pendingRelease
}

// Run sweeps periodically and after each change of the view, until ctx ends.
func (s *Sweeper) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		changed := s.service.viewer.Changed()
		s.sweep(ctx)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// sweep makes one pass over the owned partitions and does the work that is due.
func (s *Sweeper) sweep(ctx context.Context) {
	now := time.Now()
	expire := now.Sub(s.lastExpiry) >= expireInterval
	if expire {
		s.lastExpiry = now
	}
	if expire {
		s.audit(ctx)
	}
	found := s.findWork(expire)
	for _, id := range found.abandoned {
		s.propose(ctx, id, func(state *program.State) ([]byte, error) {
			return state.DecideAbandon(s.service.inView, s.service.clock())
		})
	}
	if len(found.abandoned) > 0 {
		s.service.waitQueues.WakeAll()
	}
	for _, id := range found.expired {
		s.propose(ctx, id, func(state *program.State) ([]byte, error) {
			return state.DecideExpire(s.service.inView, s.service.clock())
		})
	}
	s.processReleases(ctx, found.releases)
}

// findWork visits the owned partitions and returns the work that is due.
func (s *Sweeper) findWork(expire bool) pendingWork {
	var found pendingWork
	reported := s.reportedPrograms()
	clock := s.service.clock()
	s.service.owned.Visit(func(id partition.ID, machine partition.StateMachine) {
		state := program.FromStateMachine(machine)
		found.releases = append(found.releases, s.findOrphans(id, state, reported[id])...)
		if state.Empty() {
			return
		}
		if op, err := state.DecideAbandon(s.service.inView, clock); err == nil && op != nil {
			found.abandoned = append(found.abandoned, id)
		}
		if expire {
			if op, err := state.DecideExpire(s.service.inView, clock); err == nil && op != nil {
				found.expired = append(found.expired, id)
			}
		}
		found.releases = append(found.releases, pendingReleases(id, state)...)
	})
	return found
}

// propose runs one operation. Failures are ignored, since the next sweep finds the same
// work again.
func (s *Sweeper) propose(ctx context.Context, id partition.ID, decide func(*program.State) ([]byte, error)) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	_ = s.service.propose(ctx, id, decide)
}
