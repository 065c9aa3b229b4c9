package dispatch

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"cowslipgw/internal/structs"
)

// Run sends releases and registers the calls in flight with the owners of their
// pools. It returns when ctx is done.
func (c *Client) Run(ctx context.Context) {
	var group errgroup.Group
	for range releaseWorkers {
		group.Go(func() error {
			c.sendReleases(ctx)
			return nil
		})
	}
	group.Go(func() error {
		c.registerLoop(ctx)
		return nil
	})
	_ = group.Wait()
}

func (c *Client) sendReleases(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case out := <-c.pendingReleases:
			c.callPeer(ctx, out.owner, "Release", &out.args, &Empty{})
		}
	}
}

// callPeer calls an RPC method on another host and reports whether it succeeded.
func (c *Client) callPeer(ctx context.Context, owner, method string, args, reply any) bool {
	callCtx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	return c.options.Control.Call(callCtx, owner, ServiceName+"."+method, args, reply) == nil
}

// registerLoop registers the calls in flight with each pool's owner: at once when
// the owner has changed, and periodically because a release may have been lost.
func (c *Client) registerLoop(ctx context.Context) {
	ticker := time.NewTicker(ownerCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for pool, calls := range c.callsByPool() {
			c.registerIfDue(ctx, pool, calls)
		}
	}
}

// callsByPool returns the calls in flight by pool. A pool whose calls have all ended
// is included once more with an empty list.
func (c *Client) callsByPool() map[structs.PoolName][]Running {
	c.mu.Lock()
	defer c.mu.Unlock()
	calls := make(map[structs.PoolName][]Running, len(c.registered))
	for pool := range c.registered {
		calls[pool] = nil
	}
	for _, running := range c.inFlight {
		pool := running.Request.Pool
		calls[pool] = append(calls[pool], running)
	}
	return calls
}

func (c *Client) registerIfDue(ctx context.Context, pool structs.PoolName, calls []Running) {
	address, self := c.options.Owners.Owner(pool)
	if self {
		address = selfOwner
	}
	c.mu.Lock()
	last := c.registered[pool]
	c.mu.Unlock()
	if address == "" || (last.owner == address && time.Since(last.at) < registerInterval) {
		return
	}
	if !c.register(ctx, pool, address, calls) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(calls) == 0 {
		delete(c.registered, pool)
		return
	}
	c.registered[pool] = registration{owner: address, at: time.Now()}
}

// register sends the list of calls and reports whether the owner accepted it.
func (c *Client) register(ctx context.Context, pool structs.PoolName, address string, calls []Running) bool {
	if address != selfOwner {
		args := RegisterArgs{Pool: pool, Origin: c.options.Origin(), Calls: calls}
		var reply RegisterReply
		return c.callPeer(ctx, address, "Register", &args, &reply) && !reply.Moved
	}
	own := c.options.Service.pool(pool)
	if own == nil {
		return false
	}
	own.Register(c.options.Origin(), calls)
	return true
}
