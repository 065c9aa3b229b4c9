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

// Options configures a Service.
type Options struct {
	Proposer partition.Proposer
	Owned    OwnedPartitions
	Viewer   fleet.Viewer
	// Origin returns the ID of this host and its current incarnation.
	Origin func() structs.Origin
	// AccountLimits returns an account's rate and burst according to the lists in force
	// at this host.
	AccountLimits func(structs.AccountID) (account.Limits, bool)
}

// Service decides operations on the partitions that this host owns. It is safe for
// concurrent use.
type Service struct {
	proposer      partition.Proposer
	owned         OwnedPartitions
	viewer        fleet.Viewer
	origin        func() structs.Origin
	accountLimits func(structs.AccountID) (account.Limits, bool)
	started       time.Time
	waitQueues    *program.WaitQueues
	// takeovers has a leaf lock, which is acquired while a partition's lock is held.
	takeovers *takeovers
	// active tracks the calls that this host, as a client, runs at owners.
	active *activeCalls

	mu     sync.Mutex
	begins map[structs.CallID]*pendingBegin
}

// NewService returns a service with no queued calls. The caller must run Run for the
// lifetime of the service.
func NewService(options Options) *Service {
	return &Service{
		proposer:      options.Proposer,
		owned:         options.Owned,
		viewer:        options.Viewer,
		origin:        options.Origin,
		accountLimits: options.AccountLimits,
		started:       time.Now(),
		waitQueues:    program.NewWaitQueues(),
		takeovers:     newTakeovers(),
		active:        newActiveCalls(),
		begins:        make(map[structs.CallID]*pendingBegin),
	}
}

// Run removes the queued calls that hosts no longer poll for, and expired takeovers,
// until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(pollGrace / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.dropAbandoned(time.Now())
			s.takeovers.prune(time.Now())
		}
	}
}

// OnActivated records that this host became the owner of a partition. The caller holds
// the partition's lock.
func (s *Service) OnActivated(id partition.ID, machine partition.StateMachine) {
	s.takeovers.begin(id, program.FromStateMachine(machine).RunningCalls(), time.Now())
}

// clock returns the current time for one decision.
func (s *Service) clock() structs.OwnerClock {
	now := time.Now()
	return structs.OwnerClock{Owner: s.origin(), Now: now, Monotonic: now.Sub(s.started)}
}

// inView reports whether a host is in the newest view with this incarnation.
func (s *Service) inView(origin structs.Origin) bool {
	host, ok := s.viewer.View().Find(origin.Host)
	return ok && host.Incarnation == origin.Incarnation
}

// propose runs one decision on the state of a partition and replicates the resulting
// operation.
func (s *Service) propose(ctx context.Context, id partition.ID, decide func(*program.State) ([]byte, error)) error {
	return s.proposer.Propose(ctx, id, func(machine partition.StateMachine) ([]byte, error) {
		return decide(program.FromStateMachine(machine))
	})
}
