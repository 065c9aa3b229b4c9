package owner

import (
	"context"
	"errors"
	"time"

	"cowslipgw/internal/control"
	"cowslipgw/internal/partition"
	"cowslipgw/internal/trace"
)

// Timeouts and intervals of the router.
const (
	// retryInterval is how long the router waits before a retry if the view does not
	// change meanwhile.
	retryInterval = 50 * time.Millisecond
	// attemptTimeout bounds one attempt, so that an unresponsive owner does not use up
	// the caller's whole deadline: the next attempt goes to the owner in the newest
	// view.
	attemptTimeout = 2 * time.Second
	// defaultTimeout bounds an operation whose context has no deadline.
	defaultTimeout = 10 * time.Second
)

// Router sends operations to the owner of their partition.
type Router struct {
	locator Locator
	client  *control.Client
}

// NewRouter returns a router that uses the locator to find owners.
func NewRouter(locator Locator, client *control.Client) *Router {
	return &Router{locator: locator, client: client}
}

// send runs one operation at the owner of a partition: by calling local if this host is
// the owner, and otherwise by calling method at the owner. It retries the operation,
// which must be idempotent, until it succeeds, is rejected or ctx ends. After
// ErrUnavailable the operation had no effect; after ErrUncertain it may have been
// applied.
func send[A, R any](ctx context.Context, r *Router, id partition.ID, method string, args A,
	local func(context.Context, A) (R, error)) (R, error) {
	return sendWithArgs(ctx, r, id, method, func() A { return args }, local)
}

// sendWithArgs is like send but computes the arguments anew for each attempt.
func sendWithArgs[A, R any](ctx context.Context, r *Router, id partition.ID, method string, args func() A,
	local func(context.Context, A) (R, error)) (R, error) {
	var zero R
	ctx, cancel := withDefaultTimeout(ctx)
	defer cancel()
	maybeApplied := false
	for {
		changed := r.locator.Changed()
		reply := attempt(ctx, r, id, method, args(), local)
		switch reply.Code {
		case CodeOK:
			return reply.Value, nil
		case CodeFailed:
			return zero, errors.Join(ErrRejected, errors.New(reply.Detail))
		case CodeUncertain:
			maybeApplied = true
		}
		if !waitForChange(ctx, changed) {
			return zero, deadlineError(ctx, maybeApplied)
		}
	}
}

// attempt runs an operation once at the current owner.
func attempt[A, R any](ctx context.Context, r *Router, id partition.ID, method string, args A,
	local func(context.Context, A) (R, error)) Reply[R] {
	address, self, ok := r.locator.Owner(id)
	if !ok {
		return Reply[R]{Code: CodeNotReady}
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if self {
		return newReply(local(ctx, args))
	}
	var reply Reply[R]
	call := Call[A]{Traceparent: trace.Traceparent(ctx), TimeoutMillis: remaining(ctx).Milliseconds(), Args: args}
	if err := r.client.Call(ctx, address, method, call, &reply); err != nil {
		if errors.Is(err, control.ErrUnreachable) {
			return Reply[R]{Code: CodeNotReady}
		}
		return Reply[R]{Code: CodeUncertain}
	}
	return reply
}

// newReply builds the reply for the result of a locally run operation.
func newReply[R any](value R, err error) Reply[R] {
	reply := Reply[R]{Code: codeOf(err)}
	if err != nil {
		reply.Detail = err.Error()
		return reply
	}
	reply.Value = value
	return reply
}

// waitForChange waits until owners may have changed or retryInterval has passed. It
// returns false if ctx has ended.
func waitForChange(ctx context.Context, changed <-chan struct{}) bool {
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return ctx.Err() == nil
}

// deadlineError returns the error for an operation whose context ended before it
// succeeded.
func deadlineError(ctx context.Context, maybeApplied bool) error {
	if maybeApplied {
		return errors.Join(ErrUncertain, ctx.Err())
	}
	return errors.Join(ErrUnavailable, ctx.Err())
}

// withDefaultTimeout applies defaultTimeout to a context that has no deadline.
func withDefaultTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, defaultTimeout)
}

// remaining returns the time until the deadline of ctx.
func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return defaultTimeout
	}
	return time.Until(deadline)
}
