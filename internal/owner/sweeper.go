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
	// sweepEvery is the time between two sweeps while the view does not change.
	sweepEvery = time.Second
	// expireEvery is the time between two looks for idle programs and old claims.
	expireEvery = 10 * time.Second
	// sweepTimeout bounds one operation of a sweep; the next sweep tries again.
	sweepTimeout = 3 * time.Second
)

// OwnedPartitions gives the partitions that this host serves as their owner.
type OwnedPartitions interface {
	// Visit calls the function under each partition's lock. It must not change the state.
	Visit(func(partition.ID, partition.Machine))
}

// Replicas gives the upstreams and their load reports.
type Replicas interface {
	// Ready reports whether the host list was read at least once.
	Ready() bool
	All() []upstream.Replica
	Replica(structs.ReplicaID) (upstream.Replica, bool)
	// Load returns the newest report; its field At is when this host asked for it.
	Load(structs.ReplicaID) (upstream.Load, bool)
}

// Orders sends orders to engines.
type Orders interface {
	Order(ctx context.Context, address string, order upstream.Order) error
}

// SweeperOptions set up a Sweeper.
type SweeperOptions struct {
	// Control calls other hosts.
	Control   fleet.Caller
	Directory Replicas
	Orders    Orders
	Logger    *event.Logger
}

// Sweeper does at the owner what no request asks for: it ends the calls of hosts
// that left the view, expires idle programs and old claims, and has engines release
// the memory of programs that are gone.
type Sweeper struct {
	service   *Service
	options   SweeperOptions
	releases  *releases
	lastCheck time.Time
}

// NewSweeper returns a sweeper for the partitions of a service.
func NewSweeper(service *Service, options SweeperOptions) *Sweeper {
	return &Sweeper{service: service, options: options, releases: newReleases()}
}

// findings are what one look at the owned partitions found to do.
type findings struct {
	abandoned, expired []partition.ID
	releases           []pendingRelease
}

// Run sweeps regularly and after each change of the view, until ctx ends.
func (s *Sweeper) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
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

// sweep looks once and does what is due.
func (s *Sweeper) sweep(ctx context.Context) {
	now := time.Now()
	expire := now.Sub(s.lastCheck) >= expireEvery
	if expire {
		s.lastCheck = now
	}
	if expire {
		s.audit(ctx)
	}
	found := s.look(expire)
	for _, id := range found.abandoned {
		s.propose(ctx, id, func(state *program.State) ([]byte, error) {
			return state.DecideAbandon(s.service.inView, s.service.clock())
		})
	}
	if len(found.abandoned) > 0 {
		s.service.waiting.WakeAll()
	}
	for _, id := range found.expired {
		s.propose(ctx, id, func(state *program.State) ([]byte, error) {
			return state.DecideExpire(s.service.inView, s.service.clock())
		})
	}
	s.release(ctx, found.releases)
}

// look visits the owned partitions and lists what is due.
func (s *Sweeper) look(expire bool) findings {
	var found findings
	reported := s.reportedPrograms()
	clock := s.service.clock()
	s.service.owned.Visit(func(id partition.ID, machine partition.Machine) {
		state := program.FromMachine(machine)
		found.releases = append(found.releases, s.orphans(id, state, reported[id])...)
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
		found.releases = append(found.releases, pendingOf(id, state)...)
	})
	return found
}

// propose runs one operation. What fails is found again by the next sweep.
func (s *Sweeper) propose(ctx context.Context, id partition.ID, decide func(*program.State) ([]byte, error)) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	_ = s.service.propose(ctx, id, decide)
}
