package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/forward"
	"cowslipgw/internal/relay"
	"cowslipgw/internal/replica"
	"cowslipgw/internal/route"
)

const (
	// maxExtraRefusals is the number of replicas beyond the route's attempts that may
	// refuse a request; a refusal does not count as an attempt.
	maxExtraRefusals = 3
	// maxCrashes is the number of replicas that may have ended under a request, at any host, up
	// to which the host tries another one by itself.
	maxCrashes = 1
	// minAttemptTime is the minimum time until the deadline for which an attempt is
	// started.
	minAttemptTime = 5 * time.Millisecond
)

// attempt is a request in progress at one replica.
type attempt struct {
	lease  *replica.Lease
	answer *forward.Answer
	info   AnswerInfo
	cancel context.CancelFunc
}

// end closes the answer, which discards or reuses the connection, and ends the lease.
func (a *attempt) end(result replica.Result, units int) {
	a.answer.Close()
	a.cancel()
	a.lease.Done(result, units)
}

// errNoReplica is returned if no replica can take the request.
var errNoReplica = errors.New("no replica available")

// errRefused is returned if the replica reported that it did not execute the request.
var errRefused = errors.New("replica refused the request")

// errStopping is returned if the request was not sent because it may outlast the drain of the host.
var errStopping = errors.New(stoppingReason)

// errFirstByteTimeout is returned if the replica sent no first byte in time and another one takes
// over.
var errFirstByteTimeout = errors.New("no first byte in time")

// dispatch sends the request to replicas until one returns anything but a refusal. It
// retries only as the kind of the route allows.
func (x *exchange) dispatch(ctx context.Context, body [][]byte, q replica.Query) (*attempt, error) {
	if x.tried == nil {
		x.tried = make(map[string]bool)
	}
	q.Exclude = x.tried
	last := errNoReplica
	refusals := 0
	defer x.releaseNext()
	for x.attempts < max(x.route.MaxAttempts, 1) && refusals <= maxExtraRefusals && x.mayTryAnother() {
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		if time.Until(x.deadline) < minAttemptTime {
			return nil, context.DeadlineExceeded
		}
		if !x.g.confirmEvacuations(ctx) {
			return nil, errUnconfirmed
		}
		lease, err := x.takeNext(ctx, q)
		if err != nil {
			if errors.Is(err, errNoReplica) {
				err = last
			}
			return nil, err
		}
		if !x.mayHaveRun && x.g.outlasts(x.deadline) {
			lease.Done(replica.NotSent, 1)
			return nil, errStopping
		}
		x.replica = lease.Record().ID
		x.tried[x.replica] = true
		a, err := x.try(ctx, lease, body, q)
		if err == nil {
			x.attempts++
			x.mayHaveRun = true
			return a, nil
		}
		last = err
		x.g.events.Log(event.AttemptFailed, event.Fields{"request": x.call.ID, "replica": x.replica,
			"ms": time.Since(x.start).Milliseconds(), "error": err.Error()})
		switch {
		case errors.Is(err, forward.ErrWithheld):
			refusals++
			delete(x.tried, x.replica) // nothing was sent, and another check may allow it
		case errors.Is(err, errRefused), errors.Is(err, forward.ErrUnreachable):
			refusals++
		default:
			x.attempts++
			x.mayHaveRun = true
			if x.route.Kind != route.Safe {
				return nil, err
			}
		}
	}
	return nil, last
}

// try sends the request to the leased replica. On an error it ends the lease. q finds the
// replica that takes over if there is no first byte in time.
func (x *exchange) try(ctx context.Context, lease *replica.Lease, body [][]byte, q replica.Query) (*attempt, error) {
	attemptCtx, cancel := context.WithCancel(ctx)
	failover := x.startFailover(attemptCtx, q, cancel)
	record := lease.Record()
	header := x.call.Header.Clone()
	priority, hasPriority := x.turnPriority()
	x.g.codec.Encode(header, Attempt{Remaining: time.Until(x.deadline), Instance: record.ID, Account: x.accountName(), After: x.after,
		Priority: priority, HasPriority: hasPriority})
	request := &relay.Request{ID: x.call.ID, Replica: record, Deadline: x.deadline, Paced: lease.Reserved(), MayPassOn: x.mayPassOn(),
		Request: forward.Request{Method: x.call.Method, URI: x.call.URI, Host: x.call.Host, Header: header, MaySend: x.g.maySend(lease.CheckSend),
			Repeatable: x.route.Kind == route.Safe || x.route.Resumable,
			Body:       body, HasBody: x.call.HasBody}}
	sent := time.Now()
	answer, through, err := x.g.sender.Send(attemptCtx, request, x.g.answersTo(x.call.ID))
	x.through = through
	if x.next = failover.end(); x.next != nil && err == nil {
		answer.Close()
		err = errFirstByteTimeout
	}
	if err != nil {
		cancel()
		switch {
		case ctx.Err() != nil:
			lease.Done(replica.Abandoned, 1)
			return nil, ctx.Err()
		case x.next != nil:
			lease.Done(replica.Abandoned, 1)
			return nil, errFirstByteTimeout
		case errors.Is(err, forward.ErrWithheld):
			lease.Done(replica.NotSent, 1)
		case errors.Is(err, forward.ErrUnreachable):
			lease.Done(replica.Unreachable, 1)
			x.g.crashes.unreachable(record)
		case errors.Is(err, forward.ErrBroken):
			lease.Done(x.brokenResult(record, replica.Reset), 1)
			x.breakOff(record)
		default:
			lease.Done(replica.Broken, 1)
		}
		return nil, err
	}
	lease.FirstByte()
	info := x.g.codec.Answer(answer.Header)
	if info.Load != nil {
		lease.Load(*info.Load)
	}
	// Answers without a signature may come from something other than the replica.
	if info.RateLimit != nil && (info.RateLimit.Limited || info.Signed) {
		lease.RateLimit(*info.RateLimit)
	}
	x.g.learnLeaving(record, info, answer.Status)
	x.g.learnCold(record, info, answer.Status, sent)
	a := &attempt{lease: lease, answer: answer, info: info, cancel: cancel}
	if info.isRefusal(answer.Status) {
		info.limitReuse(answer)
		return nil, x.endRefused(ctx, a)
	}
	return a, nil
}

// endRefused ends an attempt whose answer says that the replica did not execute the request. It returns errRefused if
// the answer is whole.
func (x *exchange) endRefused(ctx context.Context, a *attempt) error {
	if err := skipBody(a.answer); err != nil {
		x.endFailed(ctx, a, err)
		return err
	}
	a.end(replica.Refused, 1)
	return errRefused
}

// endFailed ends an attempt whose answer could not be read because of err.
func (x *exchange) endFailed(ctx context.Context, a *attempt, err error) {
	a.end(x.failureResult(ctx, a.lease.Record()), 1)
	if isBroken(err) && ctx.Err() == nil {
		x.breakOff(a.lease.Record())
	}
}

// isRefusal reports whether an answer says that the replica did not execute the request.
func (i AnswerInfo) isRefusal(status int) bool {
	return i.NotExecuted || status == http.StatusMisdirectedRequest
}

// limitReuse keeps a refusal that bears no request ID the last answer on its connection: a copy of
// it would be taken for the answer to a later request.
func (i AnswerInfo) limitReuse(answer *forward.Answer) {
	if i.isRefusal(answer.Status) && i.RequestID == "" {
		answer.DoNotReuse()
	}
}

// learnLeaving records what an answer says of the end of the replica. An answer that the request
// was misdirected comes from another replica.
func (g *Gateway) learnLeaving(r replica.Record, info AnswerInfo, status int) {
	if info.Leaving && status != http.StatusMisdirectedRequest {
		g.replicas.Leaving(r)
	}
}

// answersTo returns the function that reports whether an answer belongs to the request with the
// given ID. Answers that a replica did not sign may lack the request ID.
func (g *Gateway) answersTo(id string) relay.Matches {
	return func(_ int, h http.Header) bool {
		info := g.codec.Answer(h)
		return info.RequestID == id || (info.RequestID == "" && !info.Signed)
	}
}

// brokenResult returns the result to report for an attempt whose connection broke: a lost link of
// this host says nothing about the replica.
func (x *exchange) brokenResult(r replica.Record, otherwise replica.Result) replica.Result {
	if x.g.sender.LinkLost(r) {
		return replica.LinkLost
	}
	return otherwise
}

// fail sends an error response after no replica gave a usable answer.
func (x *exchange) fail(ctx context.Context, err error) {
	switch {
	case !x.mayHaveRun && errors.Is(err, errStopping):
		x.refuse(*refuseStopping())
	case !x.mayHaveRun:
		x.refuse(refusal{status: http.StatusServiceUnavailable, reason: failureReason(err), retryAfter: retryAfter(err)})
	case ctx.Err() != nil || time.Until(x.deadline) < minAttemptTime:
		x.refuse(refusal{status: http.StatusGatewayTimeout, reason: "no answer of the replica in time"})
	default:
		x.refuse(refusal{status: http.StatusBadGateway, reason: failureReason(err)})
	}
}

// retryAfter returns when a request that failed with err without being sent may come again.
func retryAfter(err error) time.Duration {
	var limited limitedError
	if errors.As(err, &limited) {
		return max(limited.retryAfter, retrySoon)
	}
	return retrySoon
}

func failureReason(err error) string {
	var limited limitedError
	if errors.As(err, &limited) {
		return limited.Error()
	}
	for _, known := range []error{errNoReplica, errRefused, errFirstByteTimeout, errUnconfirmed, forward.ErrWithheld, forward.ErrUnreachable, forward.ErrBroken,
		forward.ErrInvalidAnswer, context.DeadlineExceeded, context.Canceled} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return "replica failed"
}
