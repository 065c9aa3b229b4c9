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

// Failed settlements are retried with exponential backoff between these limits.
const (
	settleBackoff    = 100 * time.Millisecond
	settleBackoffMax = time.Second
)

// cleanupWait is how long a caller waits for the cleanup of a failed call.
const cleanupWait = time.Second

// claimRetryAfter is the Retry-After of a request whose idempotency key is in use by a
// running call.
const claimRetryAfter = 2 * time.Second

// session is one call and the steps taken for it so far. The outcome starts as
// OutcomeNotRun and is changed before the first byte may be sent.
type session struct {
	server  *Server
	call    structs.CallID
	origin  structs.Origin
	caller  principal
	started time.Time
	// callerCtx ends when the caller disconnects, its key is withdrawn or the host's
	// lists are not current.
	callerCtx context.Context

	claim   *program.ClaimKey
	program programHeaders
	begun   bool
	settled atomic.Bool
	closed  atomic.Bool
	outcome structs.Outcome
}

// newSession assigns an ID to a call. It fails while this host is not part of the
// fleet.
func (s *Server) newSession(ctx context.Context, caller principal, started time.Time) (*session, *structs.Problem) {
	self, ok := s.options.Hosts.View().Find(s.options.Hosts.Self())
	if !ok {
		return nil, retryLater("not-in-fleet", "this host is not part of the fleet; use another entry host", time.Second)
	}
	number := s.sequence.Add(1)
	return &session{
		server:    s,
		call:      structs.CallID(fmt.Sprintf("%s-%d-%d", self.ID, self.Incarnation, number)),
		origin:    structs.Origin{Host: self.ID, Incarnation: self.Incarnation},
		caller:    caller,
		started:   started,
		callerCtx: ctx,
		outcome:   structs.OutcomeNotRun,
	}, nil
}

// cleanupContext returns a context for work that must be done even if the caller has
// disconnected.
func (s *session) cleanupContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(s.callerCtx), s.server.options.Limits.SettleTimeout)
}

// openClaim claims the idempotency key. It returns the stored answer if the request has
// already been run.
func (s *session) openClaim(key string, digest [32]byte) (*program.StoredAnswer, *structs.Problem) {
	ctx, span := s.server.options.Tracer.Start(s.callerCtx, "entry.claim")
	defer span.End()
	claim := program.ClaimKey{Account: s.caller.account, Key: key}
	request := program.OpenRequest{Claim: claim, Digest: digest, Call: s.call, Origin: s.origin}
	result, err := s.server.options.Claims.Open(ctx, request)
	if err != nil {
		var problem *structs.Problem
		if !errors.As(err, &problem) {
			// The claim may have been opened although the response was lost.
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
		problem.RetryAfter = claimRetryAfter
		return nil, withRun(problem, structs.RunUnknown)
	case program.ClaimMismatch:
		return nil, newProblem(http.StatusUnprocessableEntity, "idempotency-key-reused", "the idempotency key was used with another request")
	}
	problem := newProblem(http.StatusConflict, "outcome-unknown", "a request with this idempotency key was sent and its outcome is not known")
	return nil, withRun(problem, structs.RunUnknown)
}

// acquire waits for a slot on a replica.
func (s *session) acquire(request dispatch.Request) (dispatch.Slot, *structs.Problem) {
	ctx, span := s.server.options.Tracer.Start(s.callerCtx, "entry.acquire")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, s.server.options.Limits.QueueTimeout)
	defer cancel()
	slot, err := s.server.options.Dispatcher.Acquire(ctx, request)
	switch {
	case err == nil:
		return slot, nil
	case s.callerCtx.Err() != nil:
		return slot, s.failure(context.Cause(s.callerCtx))
	}
	return slot, problemOf(err, "queue-timeout", "no replica became free in time")
}

// settle reports the outcome of the call to the program's owner. It retries until the
// owner accepts or rejects the settlement or the settle timeout has passed.
func (s *session) settle(request program.SettleRequest) *structs.Problem {
	if !s.begun || !s.settled.CompareAndSwap(false, true) {
		return nil
	}
	request.Key = s.program.key
	request.Call = s.call
	request.Outcome = s.outcome
	request.End = s.program.end && s.outcome == structs.OutcomeAnswered
	err := s.retry("entry.settle", func(ctx context.Context) error {
		return s.server.options.Programs.Settle(ctx, request)
	})
	if err == nil {
		return nil
	}
	s.server.metrics.countUnsettled("program")
	s.server.options.Logger.Log(event.SettleFailed, event.Fields{"call": s.call, "account": s.caller.account, "error": err})
	problem := problemOf(err, "not-committed", "the answer arrived and could not be added to the program's history")
	if s.outcome == structs.OutcomeAnswered {
		problem = withRun(problem, structs.RunYes)
		problem.RetryAfter = 0
	}
	return problem
}

// closeClaim closes the claim with the outcome and, if there is one, the answer.
func (s *session) closeClaim(outcome structs.Outcome, answer *program.StoredAnswer) {
	if s.claim == nil || !s.closed.CompareAndSwap(false, true) {
		return
	}
	request := program.CloseRequest{Claim: *s.claim, Call: s.call, Outcome: outcome, Answer: s.storable(answer)}
	err := s.retry("entry.close", func(ctx context.Context) error {
		return s.server.options.Claims.Close(ctx, request)
	})
	if err != nil {
		s.server.metrics.countUnsettled("claim")
		s.server.options.Logger.Log(event.ClaimCloseFailed, event.Fields{"call": s.call, "account": s.caller.account, "error": err})
	}
}

// storable returns the answer to store. An answer over the size limit is replaced by
// the problem that retries receive.
func (s *session) storable(answer *program.StoredAnswer) *program.StoredAnswer {
	limit := s.server.options.Limits.StoredAnswerLimit
	if answer == nil || int64(len(answer.Body)) <= limit {
		return answer
	}
	s.server.options.Logger.Log(event.AnswerNotStored, event.Fields{"call": s.call, "account": s.caller.account, "bytes": len(answer.Body)})
	return storedProblem(notStored(limit))
}

// notStored returns the problem that retries receive if the answer was too long to be
// stored.
func notStored(limit int64) *structs.Problem {
	return withRun(newProblem(http.StatusConflict, "answer-not-stored",
		fmt.Sprintf("the request was run; its answer exceeds %d bytes and was not kept", limit)), structs.RunYes)
}

// storedProblem returns a problem in the form of a stored answer.
func storedProblem(problem *structs.Problem) *program.StoredAnswer {
	header := make(http.Header)
	setProblemHeader(header, problem)
	return &program.StoredAnswer{Status: problem.Status, Header: header, Body: encodeProblem(problem)}
}

// retry runs f until it succeeds, fails with a problem that is not retryable, or the
// settle timeout has passed.
func (s *session) retry(name string, f func(context.Context) error) error {
	ctx, cancel := s.cleanupContext()
	defer cancel()
	ctx, span := s.server.options.Tracer.Start(ctx, name)
	defer span.End()
	for backoff := settleBackoff; ; backoff = min(2*backoff, settleBackoffMax) {
		err := f(ctx)
		var problem *structs.Problem
		if err == nil || errors.As(err, &problem) && problem.RetryAfter == 0 {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(backoff):
		}
	}
}

// cleanup settles the call and closes the claim after a failure. If that takes longer
// than cleanupWait, it continues in the background, so that the caller learns of the
// failure even if an owner does not respond.
func (s *session) cleanup() {
	if !s.begun && s.claim == nil {
		return
	}
	done := make(chan struct{})
	s.server.detached.Add(1)
	go func() {
		defer s.server.detached.Done()
		defer close(done)
		s.settle(program.SettleRequest{})
		s.closeClaim(s.outcome, nil)
	}()
	timer := time.NewTimer(cleanupWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// cleanupOnPanic cleans up after a panic and then re-panics.
func (s *session) cleanupOnPanic() {
	if fault := recover(); fault != nil {
		s.cleanup()
		panic(fault)
	}
}
