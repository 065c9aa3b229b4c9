package dispatch

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"cowslipgw/internal/structs"
)

// Run sends releases and registers the calls in flight with new owners. It ends
// with ctx.
func (c *Client) Run(ctx context.Context) {
	var group errgroup.Group
	for range releaseWorkers {
		group.Go(func() error {
			c.sendReleases(ctx)
			return nil
		})
	}
	group.Go(func() error {
		c.keepRegistered(ctx)
		return nil
	})
	_ = group.Wait()
}

func (c *Client) sendReleases(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case out := <-c.release:
			c.call(ctx, out.owner, "Release", &out.args, &Empty{})
		}
	}
}

// call runs one method at another host and says whether it answered.
func (c *Client) call(ctx context.Context, owner, method string, args, reply any) bool {
	calling, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.options.Control.Call(calling, owner, ServiceName+"."+method, args, reply) == nil
}

// keepRegistered lists the calls in flight to each pool's owner: at once when the
// owner has changed, and regularly since a release may be lost.
func (c *Client) keepRegistered(ctx context.Context) {
	ticker := time.NewTicker(ownerCheck)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for pool, calls := range c.calls() {
			c.registerIfDue(ctx, pool, calls)
		}
	}
}

// calls returns the calls in flight by pool. A pool whose calls have all ended is
// listed once more, empty.
func (c *Client) calls() map[structs.PoolName][]Running {
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
	if address == "" || (last.owner == address && time.Since(last.at) < registerEvery) {
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

// register sends the list and says whether the owner took it.
func (c *Client) register(ctx context.Context, pool structs.PoolName, address string, calls []Running) bool {
	if address != selfOwner {
		args := RegisterArgs{Pool: pool, Origin: c.options.Origin(), Calls: calls}
		var reply RegisterReply
		return c.call(ctx, address, "Register", &args, &reply) && !reply.Moved
	}
	own := c.options.Service.pool(pool)
	if own == nil {
		return false
	}
	own.Register(c.options.Origin(), calls)
	return true
}
