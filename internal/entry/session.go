package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"cowslipgw/internal/dispatch"
	"cowslipgw/internal/event"
	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
)

// Settlements are tried again after a pause that doubles up to a limit.
const (
	settlePause    = 100 * time.Millisecond
	settlePauseMax = time.Second
)

// undoWait is how long a caller waits for a failed call to be undone.
const undoWait = time.Second

// claimRetry is when a caller may ask again for the answer of a running call.
const claimRetry = 2 * time.Second

// session is one call with what was done for it so far. Outcome starts as
// OutcomeNotRun and is raised before the first byte may be sent.
type session struct {
	server  *Server
	call    structs.CallID
	origin  structs.Origin
	caller  caller
	started time.Time
	// waiting ends when the caller has gone or its key was withdrawn.
	waiting context.Context

	claim   *program.ClaimKey
	program programName
	begun   bool
	settled atomic.Bool
	closed  atomic.Bool
	outcome structs.Outcome
}

// newSession numbers a call. It fails while this host is not part of the fleet.
func (s *Server) newSession(ctx context.Context, found caller, started time.Time) (*session, *structs.Problem) {
	self, ok := s.options.Hosts.View().Find(s.options.Hosts.Self())
	if !ok {
		return nil, retryLater("not-in-fleet", "this host is not part of the fleet; use another entry host", time.Second)
	}
	number := s.sequence.Add(1)
	return &session{
		server:  s,
		call:    structs.CallID(fmt.Sprintf("%s-%d-%d", self.ID, self.Incarnation, number)),
		origin:  structs.Origin{Host: self.ID, Incarnation: self.Incarnation},
		caller:  found,
		started: started,
		waiting: ctx,
		outcome: structs.OutcomeNotRun,
	}, nil
}

// detached returns a context for work that must be done whether or not the caller
// is still there.
func (s *session) detached() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(s.waiting), s.server.options.Limits.Settle)
}

// openClaim claims the idempotency key. A stored answer is returned when the
// request has run already.
func (s *session) openClaim(key string, digest [32]byte) (*program.StoredAnswer, *structs.Problem) {
	ctx, span := s.server.options.Tracer.Start(s.waiting, "entry.claim")
	defer span.End()
	claim := program.ClaimKey{Account: s.caller.account, Key: key}
	request := program.OpenRequest{Claim: claim, Digest: digest, Call: s.call, Origin: s.origin}
	result, err := s.server.options.Claims.Open(ctx, request)
	if err != nil {
		var problem *structs.Problem
		if !errors.As(err, &problem) {
			// The claim may have been opened although the answer was lost.
			s.claim = &claim
		}
		return nil, problemOf(err, "claim-unavailable", "the owner of the idempotency key does not answer")
	}
	if result.Problem != nil {
		return nil, result.Problem
	}
	switch result.State {
	case program.ClaimOpened:
		s.claim = &claim
		return nil, nil
	case program.ClaimFinished:
		if result.Answer != nil {
			return result.Answer, nil
		}
	case program.ClaimRunning:
		problem := newProblem(http.StatusConflict, "request-running", "a request with this idempotency key is running")
		problem.RetryAfter = claimRetry
		return nil, withRun(problem, structs.RunUnknown)
	case program.ClaimMismatch:
		return nil, newProblem(http.StatusUnprocessableEntity, "idempotency-key-reused", "the idempotency key was used with another request")
	}
	problem := newProblem(http.StatusConflict, "outcome-unknown", "a request with this idempotency key was sent and its outcome is not known")
	return nil, withRun(problem, structs.RunUnknown)
}

// acquire waits for a slot on a replica.
func (s *session) acquire(request dispatch.Request) (dispatch.Slot, *structs.Problem) {
	ctx, span := s.server.options.Tracer.Start(s.waiting, "entry.acquire")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, s.server.options.Limits.Queue)
	defer cancel()
	slot, err := s.server.options.Dispatcher.Acquire(ctx, request)
	switch {
	case err == nil:
		return slot, nil
	case s.waiting.Err() != nil:
		return slot, s.failure(context.Cause(s.waiting))
	}
	return slot, problemOf(err, "queue-timeout", "no replica became free in time")
}

// settle tells the program's owner how the call ended, until it answers or the time
// is over.
func (s *session) settle(request program.SettleRequest) *structs.Problem {
	if !s.begun || !s.settled.CompareAndSwap(false, true) {
		return nil
	}
	request.Key = s.program.key
	request.Call = s.call
	request.Outcome = s.outcome
	request.End = s.program.end && s.outcome == structs.OutcomeAnswered
	err := s.repeat("entry.settle", func(ctx context.Context) error {
		return s.server.options.Programs.Settle(ctx, request)
	})
	if err == nil {
		return nil
	}
	s.server.metrics.unsettled("program")
	s.server.options.Logger.Log(event.SettleFailed, event.Fields{"call": s.call, "account": s.caller.account, "error": err})
	problem := problemOf(err, "not-committed", "the answer arrived and could not be added to the program's history")
	if s.outcome == structs.OutcomeAnswered {
		problem = withRun(problem, structs.RunYes)
		problem.RetryAfter = 0
	}
	return problem
}

// closeClaim ends the claim with the outcome, and with the answer if there is one.
func (s *session) closeClaim(outcome structs.Outcome, answer *program.StoredAnswer) {
	if s.claim == nil || !s.closed.CompareAndSwap(false, true) {
		return
	}
	request := program.CloseRequest{Claim: *s.claim, Call: s.call, Outcome: outcome, Answer: s.storable(answer)}
	err := s.repeat("entry.close", func(ctx context.Context) error {
		return s.server.options.Claims.Close(ctx, request)
	})
	if err != nil {
		s.server.metrics.unsettled("claim")
		s.server.options.Logger.Log(event.ClaimCloseFailed, event.Fields{"call": s.call, "account": s.caller.account, "error": err})
	}
}

// storable replaces an answer that is too long by the problem that a retry gets.
func (s *session) storable(answer *program.StoredAnswer) *program.StoredAnswer {
	limit := s.server.options.Limits.Stored
	if answer == nil || int64(len(answer.Body)) <= limit {
		return answer
	}
	s.server.options.Logger.Log(event.AnswerNotStored, event.Fields{"call": s.call, "account": s.caller.account, "bytes": len(answer.Body)})
	return storedProblem(notStored(limit))
}

// notStored is what a retry gets when the answer was too long to be kept.
func notStored(limit int64) *structs.Problem {
	return withRun(newProblem(http.StatusConflict, "answer-not-stored",
		fmt.Sprintf("the request was run; its answer exceeds %d bytes and was not kept", limit)), structs.RunYes)
}

// storedProblem returns a problem in the form of a stored answer.
func storedProblem(problem *structs.Problem) *program.StoredAnswer {
	header := make(http.Header)
	problemHeader(header, problem)
	return &program.StoredAnswer{Status: problem.Status, Header: header, Body: encodeProblem(problem)}
}

// repeat runs f until it succeeds, is refused for good, or the time is over.
func (s *session) repeat(name string, f func(context.Context) error) error {
	ctx, cancel := s.detached()
	defer cancel()
	ctx, span := s.server.options.Tracer.Start(ctx, name)
	defer span.End()
	for pause := settlePause; ; pause = min(2*pause, settlePauseMax) {
		err := f(ctx)
		var problem *structs.Problem
		if err == nil || errors.As(err, &problem) && problem.RetryAfter == 0 {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pause):
		}
	}
}

// undo settles and closes whatever is still open after a failure. It goes on in the
// background when that takes longer than undoWait, so that the caller hears of the
// failure while an owner does not answer.
func (s *session) undo() {
	if !s.begun && s.claim == nil {
		return
	}
	done := make(chan struct{})
	s.server.carried.Add(1)
	go func() {
		defer s.server.carried.Done()
		defer close(done)
		s.settle(program.SettleRequest{})
		s.closeClaim(s.outcome, nil)
	}()
	timer := time.NewTimer(undoWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// undoPanicked undoes what a panic left open and lets the panic go on.
func (s *session) undoPanicked() {
	if fault := recover(); fault != nil {
		s.undo()
		panic(fault)
	}
}
