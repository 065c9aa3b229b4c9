package owner

import (
	"context"
	"sync"
	"time"

	"cowslipgw/internal/account"
	"cowslipgw/internal/fleet"
	"cowslipgw/internal/partition"
	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
)

// Options set up a Service.
type Options struct {
	Proposer partition.Proposer
	Owned    OwnedPartitions
	Viewer   fleet.Viewer
	// Origin names this host with its present incarnation.
	Origin func() structs.Origin
	// Rates returns an account's rate and burst by the lists in force at this host.
	Rates func(structs.AccountID) (account.Limits, bool)
}

// Service decides operations at this host for the partitions that it owns. It is
// safe for concurrent use.
type Service struct {
	proposer partition.Proposer
	owned    OwnedPartitions
	viewer   fleet.Viewer
	origin   func() structs.Origin
	rates    func(structs.AccountID) (account.Limits, bool)
	started  time.Time
	waiting  *program.Waiting
	// takeovers is a leaf lock, taken under the partition's.
	takeovers *takeovers
	// active are the calls of this host, as the client of owners.
	active *activeCalls

	mu     sync.Mutex
	begins map[structs.CallID]*pendingBegin
}

// NewService returns a service without waiting calls. Run must be running.
func NewService(options Options) *Service {
	return &Service{
		proposer:  options.Proposer,
		owned:     options.Owned,
		viewer:    options.Viewer,
		origin:    options.Origin,
		rates:     options.Rates,
		started:   time.Now(),
		waiting:   program.NewWaiting(),
		takeovers: newTakeovers(),
		active:    newActiveCalls(),
		begins:    make(map[structs.CallID]*pendingBegin),
	}
}

// Run drops the places of callers that no longer ask, until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(pollGrace / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.dropAbandoned(time.Now())
			s.takeovers.drop(time.Now())
		}
	}
}

// Activated notes that this host became the owner of a partition. The partition's lock
// is held.
func (s *Service) Activated(id partition.ID, machine partition.Machine) {
	s.takeovers.begin(id, program.FromMachine(machine).RunningCalls(), time.Now())
}

// clock returns the time for one decision.
func (s *Service) clock() structs.OwnerClock {
	now := time.Now()
	return structs.OwnerClock{Self: s.origin(), Now: now, Mono: now.Sub(s.started)}
}

// inView reports whether a host with its incarnation is in the newest view.
func (s *Service) inView(origin structs.Origin) bool {
	host, ok := s.viewer.View().Find(origin.Host)
	return ok && host.Incarnation == origin.Incarnation
}

// propose runs one decision on the state of a partition.
func (s *Service) propose(ctx context.Context, id partition.ID, decide func(*program.State) ([]byte, error)) error {
	return s.proposer.Propose(ctx, id, func(machine partition.Machine) ([]byte, error) {
		return decide(program.FromMachine(machine))
	})
}
