package owner

import (
	"context"
	"time"

	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
)

const (
	// pollTimeout is how long the owner holds one poll for a waiting call before it
	// tells the host to poll again. It is shorter than attemptTimeout.
	pollTimeout = 1500 * time.Millisecond
	// pollGrace is how long a waiting call keeps its place in the queue without being
	// polled.
	pollGrace = 4 * time.Second
)

// BeginAnswer is the reply to one poll for a call that is to begin.
type BeginAnswer struct {
	// Waiting reports that the call is still queued and that the host should poll
	// again.
	Waiting bool
	Result  program.BeginResult
}

// pendingBegin is a call that is queued at this owner. It keeps its place across
// several polls of its host.
type pendingBegin struct {
	ticket *program.Ticket
	// pollers counts the polls in progress.
	pollers  int
	lastPoll time.Time
}

// Begin begins a call, or reports that it is still waiting for its turn.
func (s *Service) Begin(ctx context.Context, request program.BeginRequest) (BeginAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	pending := s.enqueue(request)
	retry := (<-chan time.Time)(nil)
	for {
		select {
		case <-ctx.Done():
			s.endPoll(pending)
			return BeginAnswer{Waiting: true}, nil
		case <-pending.ticket.Ready():
		case <-retry:
		}
		retry = nil
		outcome, err := s.decideBegin(ctx, request, pending.ticket)
		if err != nil {
			// The call keeps its place in the queue: the next poll continues where this
			// one failed.
			s.endPoll(pending)
			return BeginAnswer{}, err
		}
		if !outcome.Busy {
			s.dequeue(request.Call, pending)
			return BeginAnswer{Result: outcome.Result}, nil
		}
		if outcome.RetryAfter > 0 {
			retry = time.After(outcome.RetryAfter)
		}
	}
}

// decideBegin decides whether the call may begin, once the partition is active. Only
// then is it known whether the call is still the first in its queue, and whether other
// calls may still arrive that were waiting at the previous owner.
func (s *Service) decideBegin(ctx context.Context, request program.BeginRequest, ticket *program.Ticket) (program.BeginOutcome, error) {
	var outcome program.BeginOutcome
	err := s.propose(ctx, PartitionOfProgram(request.Key), func(state *program.State) ([]byte, error) {
		wait := s.takeovers.remainingWait(request.Key, request.Call, time.Now())
		if wait > 0 || !ticket.First() {
			outcome = program.BeginOutcome{Busy: true, RetryAfter: wait}
			return nil, nil
		}
		var err error
		outcome, err = state.DecideBegin(request, s.inView, s.clock())
		return outcome.Op, err
	})
	return outcome, err
}

// enqueue returns the queue entry of a call and adds the call to the queue if it has
// none.
func (s *Service) enqueue(request program.BeginRequest) *pendingBegin {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := s.begins[request.Call]
	if pending == nil {
		pending = &pendingBegin{ticket: s.waitQueues.Enter(request.Key, time.Now().Add(-request.Waited))}
		s.begins[request.Call] = pending
	}
	pending.pollers++
	pending.ticket.Recheck()
	return pending
}

// endPoll records the end of one poll for a call that stays queued.
func (s *Service) endPoll(pending *pendingBegin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending.pollers--
	pending.lastPoll = time.Now()
}

// dequeue removes a call from the queue.
func (s *Service) dequeue(call structs.CallID, pending *pendingBegin) {
	s.mu.Lock()
	if s.begins[call] == pending {
		delete(s.begins, call)
	}
	s.mu.Unlock()
	pending.ticket.Leave()
}

// dropAbandoned removes the calls from the queue that no host has polled within
// pollGrace.
func (s *Service) dropAbandoned(now time.Time) {
	s.mu.Lock()
	var dropped []*pendingBegin
	for call, pending := range s.begins {
		if pending.pollers == 0 && now.Sub(pending.lastPoll) > pollGrace {
			delete(s.begins, call)
			dropped = append(dropped, pending)
		}
	}
	s.mu.Unlock()
	for _, pending := range dropped {
		pending.ticket.Leave()
	}
}
