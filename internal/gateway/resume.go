package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/forward"
	"cowslipgw/internal/replica"
)

// maxResumptions is the maximum number of times that one stream is resumed.
const maxResumptions = 3

// errNotResumable is returned if a stream cannot be continued in the same answer.
var errNotResumable = errors.New("stream cannot be resumed")

// mayResume reports whether a stream whose connection broke may be continued.
func (x *exchange) mayResume(ctx context.Context, err error) bool {
	return x.route.Resumable && x.resumptions < maxResumptions && ctx.Err() == nil &&
		time.Until(x.deadline) >= minAttemptTime && isBroken(err)
}

// isBroken reports whether an attempt failed because its connection did.
func isBroken(err error) bool {
	return errors.Is(err, forward.ErrBroken) || errors.Is(err, io.ErrUnexpectedEOF)
}

// startStream sends a streaming request. If the connection breaks before the head of the answer,
// it resumes the stream at its first event.
func (x *exchange) startStream(ctx context.Context, body [][]byte, q replica.Query) (*attempt, error) {
	a, err := x.dispatch(ctx, body, q)
	for err != nil && x.mayResume(ctx, err) {
		a, err = x.resume(ctx, body, q, "")
	}
	return a, err
}

// resume continues the stream after the event with the given ID. A replica that still runs
// gets the request again: it has the prompt cached, and another replica would exceed the
// attempts of the route. A replica that accepts no connection has ended, so its attempt does
// not count and another one continues.
func (x *exchange) resume(ctx context.Context, body [][]byte, q replica.Query, after string) (*attempt, error) {
	x.resumptions++
	x.after = after
	previous := x.replica
	q.Only = previous
	if !x.g.confirmEvacuations(ctx) {
		return nil, errNotResumable
	}
	var a *attempt
	lease, err := x.acquire(ctx, q)
	switch {
	case err == nil:
		a, err = x.try(ctx, lease, body, q)
	case errors.Is(err, errNoReplica) && x.mayTryAnother():
		// The replica is evacuated or gone. Another one may continue if the route has attempts left.
		q.Only = ""
		a, err = x.dispatch(ctx, body, q)
	default:
		return nil, errNotResumable
	}
	if errors.Is(err, forward.ErrUnreachable) && q.Only != "" && x.mayTryAnother() {
		x.attempts = max(x.attempts-1, 0)
		q.Only = ""
		a, err = x.dispatch(ctx, body, q)
	}
	x.g.events.Log(event.StreamResumed, event.Fields{"request": x.call.ID, "after": after, "previous": previous,
		"replica": x.replica, "resumed": err == nil, "ms": time.Since(x.start).Milliseconds()})
	return a, err
}

// continueStream resumes a stream of which the caller has received the head. The answer must
// be a stream again; its head is not passed on.
func (x *exchange) continueStream(ctx context.Context, body [][]byte, q replica.Query, after string) (*attempt, error) {
	a, err := x.resume(ctx, body, q, after)
	for err != nil && x.mayResume(ctx, err) {
		a, err = x.resume(ctx, body, q, after)
	}
	if err != nil {
		return nil, err
	}
	if a.answer.Status != http.StatusOK || !a.info.Signed {
		a.end(replica.Broken, 1)
		return nil, errNotResumable
	}
	return a, nil
}
