package dispatch

import (
	"context"
	"sync"
	"time"

	"cowslipgw/internal/control"
	"cowslipgw/internal/event"
	"cowslipgw/internal/structs"
	"cowslipgw/internal/trace"
)

// Client implements Dispatcher for one host. It sends requests to the pool's owner,
// which may be this host, and chooses a replica locally when no dispatcher answers.
// A mutex protects the table of calls in flight; it is a leaf lock.
type Client struct {
	options         ClientOptions
	pendingReleases chan outgoingRelease

	mu       sync.Mutex
	inFlight map[structs.CallID]Running
	// registered holds, for each pool, the dispatcher that last received the list of
	// calls in flight.
	registered map[structs.PoolName]registration
}

// ClientOptions configures a Client.
type ClientOptions struct {
	// Origin returns this host's ID and current incarnation.
	Origin    func() structs.Origin
	Owners    Owners
	Directory Directory
	// Service is this host's own service. It serves the pools that this host owns.
	Service *Service
	Control *control.Client
	Limits  Limits
	Log     *event.Logger
}

// registration records which owner received this host's calls in flight, and when.
type registration struct {
	owner string
	at    time.Time
}

// outgoingRelease is a release waiting to be sent by Run.
type outgoingRelease struct {
	owner string
	args  ReleaseArgs
}

const (
	// maxPendingReleases bounds the queue of unsent releases. A release that does
	// not fit is dropped; the next registration of the calls in flight makes up for
	// it.
	maxPendingReleases = 1024
	// releaseWorkers is the number of goroutines that send releases.
	releaseWorkers = 4
	// rpcTimeout bounds a Release or Register request.
	rpcTimeout = 2 * time.Second
	// ownerCheckInterval is the interval at which the client checks whether the
	// owner of a pool with calls in flight has changed, so that the calls must be
	// registered again.
	ownerCheckInterval = 200 * time.Millisecond
	// movedRetryDelay is the delay before a request is retried after StateMoved, for
	// example because a new owner has not yet installed the view that makes it the
	// owner.
	movedRetryDelay = 20 * time.Millisecond
)

// selfOwner represents this host in registrations.
const selfOwner = "self"

// NewClient returns a client with no calls in flight. Releases and registrations are
// sent only while Run is running.
func NewClient(o ClientOptions) *Client {
	return &Client{
		options:         o,
		pendingReleases: make(chan outgoingRelease, maxPendingReleases),
		inFlight:        make(map[structs.CallID]Running),
		registered:      make(map[structs.PoolName]registration),
	}
}

// Acquire waits for a slot. If there is none it returns a *structs.Problem or the
// error of ctx; in that case nothing was sent to a replica.
func (c *Client) Acquire(ctx context.Context, request Request) (Slot, error) {
	start := time.Now()
	lastAnswer := start
	caller := ctx
	ctx, cancel := context.WithTimeout(caller, c.options.Limits.Wait-request.Waited)
	defer cancel()
	waited := request.Waited
	for {
		request.Waited = waited + time.Since(start)
		reply, answered := c.poll(ctx, request)
		if ctx.Err() != nil && reply.State != StateGranted {
			return Slot{}, c.cancelWait(caller, request)
		}
		if answered && reply.State != StateMoved {
			lastAnswer = time.Now()
		}
		switch {
		case reply.State == StateGranted:
			c.addInFlight(request, reply.Slot.Replica)
			return reply.Slot, nil
		case reply.State == StateRefused:
			return Slot{}, reply.Problem
		case reply.State == StateQueued:
		case time.Since(lastAnswer) >= dispatcherTimeout:
			return c.chooseLocally(request)
		default:
			sleep(ctx, movedRetryDelay)
		}
	}
}

// poll sends one long-poll request to the pool's owner. It returns false if there
// was no answer.
func (c *Client) poll(ctx context.Context, request Request) (AcquireReply, bool) {
	address, self := c.options.Owners.Owner(request.Pool)
	if self {
		pool := c.options.Service.pool(request.Pool)
		if pool == nil {
			return AcquireReply{State: StateMoved}, true
		}
		return pool.Poll(ctx, request, pollTimeout), true
	}
	if address == "" {
		return AcquireReply{}, false
	}
	pollCtx, cancel := context.WithTimeout(ctx, dispatcherTimeout)
	defer cancel()
	args := AcquireArgs{Request: request, Trace: trace.Traceparent(ctx)}
	var reply AcquireReply
	if err := c.options.Control.Call(pollCtx, address, ServiceName+".Acquire", &args, &reply); err != nil {
		return AcquireReply{}, false
	}
	return reply, true
}

// cancelWait removes the call from the owner's queue. It returns the error of the
// caller's context, or a problem if that context is still active.
func (c *Client) cancelWait(caller context.Context, request Request) error {
	c.sendRelease(request.Pool, ReleaseArgs{Pool: request.Pool, Call: request.Call})
	if err := caller.Err(); err != nil {
		return err
	}
	return noReplicaInTime(request.Pool, c.options.Limits.Wait)
}

// Release frees a slot and reports the result of its call. It does not block.
func (c *Client) Release(slot Slot, result Result) {
	c.mu.Lock()
	delete(c.inFlight, slot.Call)
	c.mu.Unlock()
	c.sendRelease(slot.Pool, ReleaseArgs{Pool: slot.Pool, Call: slot.Call, Result: result})
}

// sendRelease delivers a release to the pool's owner.
func (c *Client) sendRelease(pool structs.PoolName, args ReleaseArgs) {
	address, self := c.options.Owners.Owner(pool)
	if self {
		if p := c.options.Service.pool(pool); p != nil {
			p.Release(args.Call, args.Result)
		}
		return
	}
	if address == "" {
		return
	}
	select {
	case c.pendingReleases <- outgoingRelease{owner: address, args: args}:
	default:
	}
}

func (c *Client) addInFlight(request Request, replica structs.ReplicaID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[request.Call] = Running{Request: request, Replica: replica}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
