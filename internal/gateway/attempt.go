package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/forward"
	"cowslipgw/internal/replica"
	"cowslipgw/internal/route"
)

const (
	// extraRefusals is how many replicas beyond the route's attempts may refuse a
	// request, which does not count as an attempt.
	extraRefusals = 3
	// safeFirstByte is how long an idempotent request waits for a first byte before
	// another replica is tried, at least.
	safeFirstByte = 250 * time.Millisecond
	// minRemaining is the least time that an attempt is begun with.
	minRemaining = 5 * time.Millisecond
)

// attempt is a request at one replica.
type attempt struct {
	lease  *replica.Lease
	answer *forward.Answer
	info   AnswerInfo
	cancel context.CancelFunc
}

// end gives up or gives back the connection and ends the lease.
func (a *attempt) end(result replica.Result, units int) {
	a.answer.Close()
	a.cancel()
	a.lease.Done(result, units)
}

// errNoReplica: no replica can take the request.
var errNoReplica = errors.New("no replica available")

// errRefused: the replica said that it did not run the request.
var errRefused = errors.New("replica refused the request")

// errSlow: the replica sent no first byte in the attempt's time.
var errSlow = errors.New("no first byte in time")

// dispatch sends the request to replicas until one answers with anything but a refusal.
// It is sent again only as the kind of route allows.
func (x *exchange) dispatch(ctx context.Context, body [][]byte, q replica.Query) (*attempt, error) {
	if x.tried == nil {
		x.tried = make(map[string]bool)
	}
	q.Exclude = x.tried
	last := errNoReplica
	refusals := 0
	for x.attempts < max(x.route.MaxAttempts, 1) && refusals <= extraRefusals {
		if ctx.Err() != nil || time.Until(x.deadline) < minRemaining {
			return nil, context.Cause(ctx)
		}
		lease := x.g.replicas.Choose(q)
		if lease == nil {
			return nil, last
		}
		x.replica = lease.Record().ID
		x.tried[x.replica] = true
		a, err := x.try(ctx, lease, body)
		if err == nil {
			x.attempts++
			x.ran = true
			return a, nil
		}
		last = err
		x.g.events.Log(event.AttemptFailed, event.Fields{"request": x.call.ID, "replica": x.replica,
			"ms": time.Since(x.start).Milliseconds(), "error": err.Error()})
		switch {
		case errors.Is(err, errRefused), errors.Is(err, forward.ErrUnreachable):
			refusals++
		default:
			x.attempts++
			x.ran = true
			if x.route.Kind != route.Safe {
				return nil, err
			}
		}
	}
	return nil, last
}

// try sends the request to the leased replica. On an error the lease is ended.
func (x *exchange) try(ctx context.Context, lease *replica.Lease, body [][]byte) (*attempt, error) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	if x.route.Kind == route.Safe {
		timer := time.AfterFunc(max(safeFirstByte, 2*x.route.Target), func() { cancel(errSlow) })
		defer timer.Stop()
	}
	record := lease.Record()
	header := x.call.Header.Clone()
	x.g.codec.Encode(header, Attempt{Remaining: time.Until(x.deadline), Instance: record.ID, Account: x.accountName()})
	request := &forward.Request{Method: x.call.Method, URI: x.call.URI, Host: x.call.Host, Header: header,
		Body: body, HasBody: x.call.HasBody, Addr: record.Addr, Instance: record.ID}
	answer, err := x.g.pool.Send(attemptCtx, request, x.belongs)
	if err != nil {
		slow := errors.Is(context.Cause(attemptCtx), errSlow)
		cancel(nil)
		switch {
		case ctx.Err() != nil:
			lease.Done(replica.Abandoned, 1)
			return nil, ctx.Err()
		case slow:
			lease.Done(replica.Abandoned, 1)
			return nil, errSlow
		case errors.Is(err, forward.ErrUnreachable):
			lease.Done(replica.Unreachable, 1)
		case errors.Is(err, forward.ErrBroken):
			lease.Done(replica.Reset, 1)
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
	a := &attempt{lease: lease, answer: answer, info: info, cancel: func() { cancel(nil) }}
	if info.NotRun || answer.Status == http.StatusMisdirectedRequest {
		drain(answer)
		a.end(replica.Refused, 1)
		return nil, errRefused
	}
	return a, nil
}

// belongs reports whether an answer is to this request. Answers that a replica did not
// sign may lack the request's ID.
func (x *exchange) belongs(_ int, h http.Header) bool {
	info := x.g.codec.Answer(h)
	return info.RequestID == x.call.ID || (info.RequestID == "" && !info.Signed)
}

// fail answers for the system after no replica gave an answer.
func (x *exchange) fail(ctx context.Context, err error) {
	switch {
	case !x.ran:
		x.refuse(refusal{status: http.StatusServiceUnavailable, reason: reasonOf(err), retryAfter: retrySoon})
	case ctx.Err() != nil || time.Until(x.deadline) < minRemaining:
		x.refuse(refusal{status: http.StatusGatewayTimeout, reason: "no answer of the replica in time"})
	default:
		x.refuse(refusal{status: http.StatusBadGateway, reason: reasonOf(err)})
	}
}

func reasonOf(err error) string {
	for _, known := range []error{errNoReplica, errRefused, errSlow, forward.ErrUnreachable, forward.ErrBroken,
		forward.ErrNotAnswer, context.DeadlineExceeded, context.Canceled} {
		if errors.Is(err, known) {
			return known.Error()
		}
	}
	return "replica failed"
}
