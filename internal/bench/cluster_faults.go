package bench

import (
	"cmp"
	"slices"
	"time"

	"cowslipgw/internal/sched"
)

// killReplica kills a replica with its calls and restarts it with an empty cache
// after the downtime. The host list shows both changes with a lag.
func (c *cluster) killReplica(index int, downtime time.Duration) {
	r := c.engines[index]
	for _, aborted := range r.engine.kill() {
		for _, call := range c.sortedInFlight() {
			if call.engine == aborted {
				c.sim.after(replicaFailureDelay, func() { c.retry(call) })
			}
		}
	}
	c.sim.after(listLag, func() { r.listed = false; c.schedule() })
	c.sim.after(downtime, func() { r.engine.restart() })
	c.sim.after(downtime+listLag, func() {
		r.listed = true
		r.report = sched.Replica{ID: r.engine.id}
		c.schedule()
	})
}

// drainReplica marks a replica as leaving for the downtime; it restarts with an empty
// cache.
func (c *cluster) drainReplica(index int, downtime time.Duration) {
	r := c.engines[index]
	c.sim.after(listLag, func() { r.leaving = true; c.schedule() })
	c.sim.after(downtime, func() {
		r.engine.kill()
		r.engine.restart()
	})
	c.sim.after(downtime+listLag, func() { r.leaving = false; c.schedule() })
}

// killHost kills an entry host and aborts its calls. The pool's dispatcher and the
// token buckets that the host owned are available again after the view change.
func (c *cluster) killHost(host int) {
	c.hosts[host].dead = true
	c.hosts[host].diedAt = c.sim.now
	c.moveBuckets(host, viewChangeDelay)
	for _, call := range c.sortedCalls() {
		if call.host == host && !call.closed {
			c.abortCall(call)
		}
	}
	if host == c.dispatcherHost {
		c.failDispatcher()
	}
}

// moveBuckets transfers the token buckets that a host owns to the next live host.
// They are unreachable during the delay.
func (c *cluster) moveBuckets(host int, delay time.Duration) {
	for account := range c.owners {
		if c.owners[account] != host {
			continue
		}
		c.ownerDownUntil[account] = c.sim.now + delay
		for c.hosts[c.owners[account]].dead || c.hosts[c.owners[account]].leaving {
			c.owners[account] = (c.owners[account] + 1) % len(c.hosts)
		}
	}
}

// abortCall ends a call whose host died. The engine cancels it, the caller retries on
// another host, and the dispatcher frees the slot at the view change.
func (c *cluster) abortCall(call *callRun) {
	call.closed = true
	c.collector.interrupted++
	if _, waits := c.waiting[call.id]; waits {
		delete(c.waiting, call.id)
		c.policy.Cancel(call.id)
	}
	if call.engine != nil {
		engine, ec := c.engines[call.replica].engine, call.engine
		ec.onDone = func(engineResult) {}
		c.sim.after(c.deployment.HostDelay, func() { engine.cancel(ec) })
	}
	c.sim.after(viewChangeDelay, func() { c.releaseSlot(call, sched.CallResult{}) })
	c.sim.after(reconnectDelay, func() { c.sendTurn(call.run, call.turn) })
}

// failDispatcher leaves the pool without a dispatcher until the view changes.
func (c *cluster) failDispatcher() {
	c.dispatcherUp = false
	for _, call := range c.sortedCalls() {
		if _, waits := c.waiting[call.id]; waits {
			c.sim.after(localFallbackDelay, func() { c.dispatchLocally(call) })
		}
	}
	c.sim.after(viewChangeDelay, c.startDispatcher)
}

// startDispatcher moves the dispatcher to the next live host. Hosts register their
// calls in flight, and waiting calls are queued again with their original arrival
// times.
func (c *cluster) startDispatcher() {
	for c.hosts[c.dispatcherHost].dead || c.hosts[c.dispatcherHost].leaving {
		c.dispatcherHost = (c.dispatcherHost + 1) % len(c.hosts)
	}
	c.policy = c.spec.make()
	c.dispatcherUp = true
	for _, call := range c.sortedInFlight() {
		c.policy.Adopt(c.toCall(call), c.engines[call.replica].engine.id, c.sim.now)
	}
	for _, call := range c.sortedCalls() {
		if _, waits := c.waiting[call.id]; waits {
			c.policy.Enqueue(c.toCall(call), c.sim.now)
		}
	}
	c.schedule()
}

// restartHost performs a planned restart: the host stops accepting calls, hands over
// its buckets and the dispatcher, finishes its calls and returns after the downtime.
func (c *cluster) restartHost(host int, downtime time.Duration) {
	c.hosts[host].leaving = true
	c.moveBuckets(host, handoverTime)
	if host == c.dispatcherHost {
		c.dispatcherUp = false
		c.sim.after(handoverTime, c.startDispatcher)
	}
	c.sim.after(downtime, func() { c.hosts[host].leaving = false })
}

// handoverTime is the time to move partitions in a planned stop.
const handoverTime = 200 * time.Millisecond

// sortedInFlight returns the calls in flight, ordered by sequence number.
func (c *cluster) sortedInFlight() []*callRun {
	return sortCalls(c.inFlight)
}

// sortedCalls returns the waiting calls and the calls in flight, ordered by sequence
// number.
func (c *cluster) sortedCalls() []*callRun {
	calls := append(sortCalls(c.waiting), sortCalls(c.inFlight)...)
	slices.SortFunc(calls, func(a, b *callRun) int { return cmp.Compare(a.sequence, b.sequence) })
	return calls
}

func sortCalls[K comparable](calls map[K]*callRun) []*callRun {
	sorted := make([]*callRun, 0, len(calls))
	for _, call := range calls {
		sorted = append(sorted, call)
	}
	slices.SortFunc(sorted, func(a, b *callRun) int { return cmp.Compare(a.sequence, b.sequence) })
	return sorted
}
