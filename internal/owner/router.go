package owner

import (
	"context"
	"errors"
	"time"

	"cowslipgw/internal/control"
	"cowslipgw/internal/partition"
	"cowslipgw/internal/trace"
)

// Times of the router.
const (
	// retryPause is how long the router waits before it asks again when the view did
	// not change meanwhile.
	retryPause = 50 * time.Millisecond
	// attemptLimit bounds one attempt, so that a frozen owner does not use up the
	// caller's whole time: the next attempt goes to the owner of the newest view.
	attemptLimit = 2 * time.Second
	// defaultTimeout bounds an operation whose context has no deadline.
	defaultTimeout = 10 * time.Second
)

// Router sends operations to the owner of their partition.
type Router struct {
	locator Locator
	client  *control.Client
}

// NewRouter returns a router that finds owners with locator.
func NewRouter(locator Locator, client *control.Client) *Router {
	return &Router{locator: locator, client: client}
}

// send runs one operation at the owner of a partition: local when this host owns it,
// else method at the owner. It repeats the operation, which must be idempotent,
// until it is done or ctx ends. ErrUnavailable: no effect. ErrUncertain: perhaps an
// effect.
func send[A, R any](ctx context.Context, r *Router, id partition.ID, method string, args A,
	local func(context.Context, A) (R, error)) (R, error) {
	return sendEach(ctx, r, id, method, func() A { return args }, local)
}

// sendEach is send with arguments that are made anew for each attempt.
func sendEach[A, R any](ctx context.Context, r *Router, id partition.ID, method string, args func() A,
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
		if !pause(ctx, changed) {
			return zero, giveUp(ctx, maybeApplied)
		}
	}
}

// attempt runs an operation once at the present owner.
func attempt[A, R any](ctx context.Context, r *Router, id partition.ID, method string, args A,
	local func(context.Context, A) (R, error)) Reply[R] {
	address, self, ok := r.locator.Owner(id)
	if !ok {
		return Reply[R]{Code: CodeNotReady}
	}
	ctx, cancel := context.WithTimeout(ctx, attemptLimit)
	defer cancel()
	if self {
		return answer(local(ctx, args))
	}
	var reply Reply[R]
	call := Call[A]{Traceparent: trace.Parent(ctx), TimeoutMillis: remaining(ctx).Milliseconds(), Args: args}
	if err := r.client.Call(ctx, address, method, call, &reply); err != nil {
		if errors.Is(err, control.ErrUnreachable) {
			return Reply[R]{Code: CodeNotReady}
		}
		return Reply[R]{Code: CodeUncertain}
	}
	return reply
}

// answer turns the result of a local operation into a reply.
func answer[R any](value R, err error) Reply[R] {
	reply := Reply[R]{Code: codeOf(err)}
	if err != nil {
		reply.Detail = err.Error()
		return reply
	}
	reply.Value = value
	return reply
}

// pause waits for a change of owners or for retryPause. False means that ctx ended.
func pause(ctx context.Context, changed <-chan struct{}) bool {
	timer := time.NewTimer(retryPause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return ctx.Err() == nil
}

func giveUp(ctx context.Context, maybeApplied bool) error {
	if maybeApplied {
		return errors.Join(ErrUncertain, ctx.Err())
	}
	return errors.Join(ErrUnavailable, ctx.Err())
}

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
