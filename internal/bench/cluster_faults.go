package bench

import (
	"cmp"
	"slices"
	"time"

	"cowslipgw/internal/sched"
)

// killReplica ends a replica with its calls and brings it back empty after a while.
// The host list shows both late.
func (c *cluster) killReplica(index int, away time.Duration) {
	r := c.engines[index]
	for _, lost := range r.engine.kill() {
		for _, call := range c.sortedInFlight() {
			if call.engine == lost {
				c.sim.after(replicaDown, func() { c.retry(call) })
			}
		}
	}
	c.sim.after(listLag, func() { r.listed = false; c.schedule() })
	c.sim.after(away, func() { r.engine.restart() })
	c.sim.after(away+listLag, func() {
		r.listed = true
		r.report = sched.Replica{ID: r.engine.id}
		c.schedule()
	})
}

// drainReplica marks a replica as leaving for a while; it restarts empty.
func (c *cluster) drainReplica(index int, away time.Duration) {
	r := c.engines[index]
	c.sim.after(listLag, func() { r.leaving = true; c.schedule() })
	c.sim.after(away, func() {
		r.engine.kill()
		r.engine.restart()
	})
	c.sim.after(away+listLag, func() { r.leaving = false; c.schedule() })
}

// killHost ends an entry host: its calls are cut, the pool's dispatcher and the
// buckets of the accounts that it owns come back with the view change.
func (c *cluster) killHost(host int) {
	c.hosts[host].dead = true
	c.hosts[host].diedAt = c.sim.now
	c.moveOwners(host, viewChange)
	for _, call := range c.sortedCalls() {
		if call.host == host && !call.closed {
			c.cut(call)
		}
	}
	if host == c.dispatcherHost {
		c.dispatcherDies()
	}
}

// moveOwners gives the buckets that a host owns to the next live host after a time.
func (c *cluster) moveOwners(host int, after time.Duration) {
	for account := range c.owners {
		if c.owners[account] != host {
			continue
		}
		c.ownerDown[account] = c.sim.now + after
		for c.hosts[c.owners[account]].dead || c.hosts[c.owners[account]].leaving {
			c.owners[account] = (c.owners[account] + 1) % len(c.hosts)
		}
	}
}

// cut ends a call whose host died. The engine notices, the caller tries again
// elsewhere, and the dispatcher frees the slot with the view change.
func (c *cluster) cut(call *callRun) {
	call.closed = true
	c.collect.cut++
	if _, waits := c.waiting[call.id]; waits {
		delete(c.waiting, call.id)
		c.policy.Cancel(call.id)
	}
	if call.engine != nil {
		engine, ec := c.engines[call.replica].engine, call.engine
		ec.done = func(engineResult) {}
		c.sim.after(c.deployment.HostDelay, func() { engine.cancel(ec) })
	}
	c.sim.after(viewChange, func() { c.release(call, sched.Finish{}) })
	c.sim.after(reconnectAfter, func() { c.callTurn(call.run, call.turn) })
}

// dispatcherDies leaves the pool without a dispatcher until the view changes.
func (c *cluster) dispatcherDies() {
	c.dispatcherUp = false
	for _, call := range c.sortedCalls() {
		if _, waits := c.waiting[call.id]; waits {
			c.sim.after(localAfter, func() { c.chooseLocally(call) })
		}
	}
	c.sim.after(viewChange, c.newDispatcher)
}

// newDispatcher moves the pool to the next live host. Hosts register their calls
// in flight, and calls that wait ask again with the time that they have waited.
func (c *cluster) newDispatcher() {
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

// restartHost is a planned restart: the host takes no new calls, hands over what it
// owns, finishes its calls and comes back.
func (c *cluster) restartHost(host int, away time.Duration) {
	c.hosts[host].leaving = true
	c.moveOwners(host, handover)
	if host == c.dispatcherHost {
		c.dispatcherUp = false
		c.sim.after(handover, c.newDispatcher)
	}
	c.sim.after(away, func() { c.hosts[host].leaving = false })
}

// handover is the time to move partitions in a planned stop.
const handover = 200 * time.Millisecond

// sortedInFlight returns the calls in flight in order of their sequence.
func (c *cluster) sortedInFlight() []*callRun {
	return sortCalls(c.inFlight)
}

// sortedCalls returns waiting calls and calls in flight in order of their sequence.
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
