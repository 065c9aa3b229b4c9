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

// Client is the Dispatcher of one host: it asks the owner of the pool, which may
// be this host, and chooses a replica by itself when no dispatcher answers. A
// mutex protects the table of calls in flight; it is a leaf lock.
type Client struct {
	options ClientOptions
	release chan outgoingRelease

	mu       sync.Mutex
	inFlight map[structs.CallID]Running
	// registered is the dispatcher that got the list of calls last, and when.
	registered map[structs.PoolName]registration
}

// ClientOptions set up a Client.
type ClientOptions struct {
	// Origin names this host with its present incarnation.
	Origin    func() structs.Origin
	Owners    Owners
	Directory Directory
	// Service is this host's own, for the pools that it owns.
	Service *Service
	Control *control.Client
	Limits  Limits
	Log     *event.Logger
}

// registration is the owner of a pool that knows this host's calls.
type registration struct {
	owner string
	at    time.Time
}

// outgoingRelease is a release that Run sends.
type outgoingRelease struct {
	owner string
	args  ReleaseArgs
}

const (
	// releaseQueue bounds the releases that wait to be sent. One that does not fit is
	// made up for by the next list of calls in flight.
	releaseQueue = 1024
	// releaseWorkers send releases.
	releaseWorkers = 4
	// callTimeout bounds a release or a list of calls.
	callTimeout = 2 * time.Second
	// ownerCheck is how often the owners of pools with calls in flight are compared with
	// those that know the calls.
	ownerCheck = 200 * time.Millisecond
	// movedPause is the wait before a new owner is asked that does not know yet that it
	// is the owner.
	movedPause = 20 * time.Millisecond
)

// selfOwner stands for this host in registrations.
const selfOwner = "self"

// NewClient returns a client without calls. Run must be running.
func NewClient(o ClientOptions) *Client {
	return &Client{
		options:    o,
		release:    make(chan outgoingRelease, releaseQueue),
		inFlight:   make(map[structs.CallID]Running),
		registered: make(map[structs.PoolName]registration),
	}
}

// Acquire waits for a slot. A *structs.Problem or the error of ctx is returned
// when there is none; nothing was sent to a replica then.
func (c *Client) Acquire(ctx context.Context, request Request) (Slot, error) {
	start := time.Now()
	lastAnswer := start
	caller := ctx
	ctx, cancel := context.WithTimeout(caller, c.options.Limits.Wait-request.Waited)
	defer cancel()
	waited := request.Waited
	for {
		request.Waited = waited + time.Since(start)
		reply, answered := c.ask(ctx, request)
		if ctx.Err() != nil && reply.State != StateGranted {
			return Slot{}, c.giveUp(caller, request)
		}
		if answered && reply.State != StateMoved {
			lastAnswer = time.Now()
		}
		switch {
		case reply.State == StateGranted:
			c.add(request, reply.Slot.Replica)
			return reply.Slot, nil
		case reply.State == StateRefused:
			return Slot{}, reply.Problem
		case reply.State == StateQueued:
		case time.Since(lastAnswer) >= answerWithin:
			return c.chooseLocally(request)
		default:
			sleep(ctx, movedPause)
		}
	}
}

// ask puts one question to the pool's owner. false means that nobody answered.
func (c *Client) ask(ctx context.Context, request Request) (AcquireReply, bool) {
	address, self := c.options.Owners.Owner(request.Pool)
	if self {
		pool := c.options.Service.pool(request.Pool)
		if pool == nil {
			return AcquireReply{State: StateMoved}, true
		}
		return pool.Ask(ctx, request, pollWait), true
	}
	if address == "" {
		return AcquireReply{}, false
	}
	asking, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	args := AcquireArgs{Request: request, Trace: trace.Parent(ctx)}
	var reply AcquireReply
	if err := c.options.Control.Call(asking, address, ServiceName+".Acquire", &args, &reply); err != nil {
		return AcquireReply{}, false
	}
	return reply, true
}

// giveUp cancels the wait of a call at the owner. The result is the caller's own
// error, or a problem when the caller still waits.
func (c *Client) giveUp(caller context.Context, request Request) error {
	c.send(request.Pool, ReleaseArgs{Pool: request.Pool, Call: request.Call})
	if err := caller.Err(); err != nil {
		return err
	}
	return noReplicaInTime(request.Pool, c.options.Limits.Wait)
}

// Release gives a slot back with what was learned. It does not block.
func (c *Client) Release(slot Slot, result Result) {
	c.mu.Lock()
	delete(c.inFlight, slot.Call)
	c.mu.Unlock()
	c.send(slot.Pool, ReleaseArgs{Pool: slot.Pool, Call: slot.Call, Result: result})
}

// send passes a release to the pool's owner.
func (c *Client) send(pool structs.PoolName, args ReleaseArgs) {
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
	case c.release <- outgoingRelease{owner: address, args: args}:
	default:
	}
}

func (c *Client) add(request Request, replica structs.ReplicaID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[request.Call] = Running{Request: request, Replica: replica}
}

// sleep waits for a time or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
