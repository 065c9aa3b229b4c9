package owner

import (
	"context"
	"time"

	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
)

const (
	// pollLimit is how long one question about a waiting call is held before the asking
	// host is told to ask again. It is shorter than attemptLimit.
	pollLimit = 1500 * time.Millisecond
	// pollGrace is how long a waiting call keeps its place while nobody asks for it.
	pollGrace = 4 * time.Second
)

// BeginAnswer is the answer to one question about a call that is to begin.
type BeginAnswer struct {
	// Waiting means that the call keeps its place and the host should ask again.
	Waiting bool
	Result  program.BeginResult
}

// pendingBegin is a call that waits at this owner. It keeps its place over several
// questions of its host.
type pendingBegin struct {
	ticket *program.Ticket
	// askers counts questions in progress.
	askers  int
	lastAsk time.Time
}

// Begin begins a call, or answers that it still waits for its turn.
func (s *Service) Begin(ctx context.Context, request program.BeginRequest) (BeginAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, pollLimit)
	defer cancel()
	pending := s.enter(request)
	again := (<-chan time.Time)(nil)
	for {
		select {
		case <-ctx.Done():
			s.pauseAsking(pending)
			return BeginAnswer{Waiting: true}, nil
		case <-pending.ticket.Ready():
		case <-again:
		}
		again = nil
		outcome, err := s.decideBegin(ctx, request, pending.ticket)
		if err != nil {
			// The place is kept: the next question goes on where this one failed.
			s.pauseAsking(pending)
			return BeginAnswer{}, err
		}
		if !outcome.Busy {
			s.leave(request.Call, pending)
			return BeginAnswer{Result: outcome.Result}, nil
		}
		if outcome.RetryAfter > 0 {
			again = time.After(outcome.RetryAfter)
		}
	}
}

// decideBegin decides once the partition is active. Only then it is known whether the
// call is still the first, and whether others may be on their way from another owner.
func (s *Service) decideBegin(ctx context.Context, request program.BeginRequest, ticket *program.Ticket) (program.BeginOutcome, error) {
	var outcome program.BeginOutcome
	err := s.propose(ctx, PartitionOfProgram(request.Key), func(state *program.State) ([]byte, error) {
		left := s.takeovers.left(request.Key, request.Call, time.Now())
		if left > 0 || !ticket.First() {
			outcome = program.BeginOutcome{Busy: true, RetryAfter: left}
			return nil, nil
		}
		var err error
		outcome, err = state.DecideBegin(request, s.inView, s.clock())
		return outcome.Op, err
	})
	return outcome, err
}

// enter returns the place of a call, and takes one if it has none yet.
func (s *Service) enter(request program.BeginRequest) *pendingBegin {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending := s.begins[request.Call]
	if pending == nil {
		pending = &pendingBegin{ticket: s.waiting.Enter(request.Key, time.Now().Add(-request.Waited))}
		s.begins[request.Call] = pending
	}
	pending.askers++
	pending.ticket.Again()
	return pending
}

func (s *Service) pauseAsking(pending *pendingBegin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	pending.askers--
	pending.lastAsk = time.Now()
}

func (s *Service) leave(call structs.CallID, pending *pendingBegin) {
	s.mu.Lock()
	if s.begins[call] == pending {
		delete(s.begins, call)
	}
	s.mu.Unlock()
	pending.ticket.Leave()
}

// dropAbandoned gives up the places of calls that nobody asked for lately.
func (s *Service) dropAbandoned(now time.Time) {
	s.mu.Lock()
	var dropped []*pendingBegin
	for call, pending := range s.begins {
		if pending.askers == 0 && now.Sub(pending.lastAsk) > pollGrace {
			delete(s.begins, call)
			dropped = append(dropped, pending)
		}
	}
	s.mu.Unlock()
	for _, pending := range dropped {
		pending.ticket.Leave()
	}
}
