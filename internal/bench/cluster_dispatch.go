package bench

import (
	"slices"
	"time"

	"cowslipgw/internal/sched"
	"cowslipgw/internal/structs"
)

// enqueue delivers a call to the dispatcher. Without a dispatcher, the host falls
// back to a local choice after a delay.
func (c *cluster) enqueue(call *callRun) {
	if call.closed {
		return
	}
	if call.queuedAt == 0 {
		call.queuedAt = c.sim.now
	}
	c.waiting[call.id] = call
	if !c.dispatcherUp {
		c.sim.after(localFallbackDelay, func() { c.dispatchLocally(call) })
		return
	}
	c.policy.Enqueue(c.toCall(call), c.sim.now)
	c.schedule()
}

// toCall returns the policy's view of a call.
func (c *cluster) toCall(call *callRun) *sched.Call {
	run := call.run
	account := c.deployment.Accounts[run.account]
	return &sched.Call{
		ID: call.id, Account: structs.AccountID(account.Name), Weight: account.Weight,
		Program: run.number, PromptTokens: run.prompt(call.turn), MaxTokens: maxTokens,
		Prefix: run.prefix, PrefixTokens: run.prefixTokens,
		Holders: run.holders, Attained: run.root.attained,
		Exclude: call.exclude, Arrived: call.queuedAt,
	}
}

// maxTokens is the completion limit that callers send.
const maxTokens = 4096

// schedule dispatches the waiting calls that can start and, while others still wait,
// schedules the next attempt.
func (c *cluster) schedule() {
	if !c.dispatcherUp || c.policy.Waiting() == 0 {
		return
	}
	snapshot := c.snapshot()
	for {
		assignment, ok := c.policy.Next(snapshot, c.sim.now)
		if !ok {
			break
		}
		c.dispatch(c.waiting[assignment.Call.ID], c.replicaIndex(assignment.Replica))
	}
	if c.policy.Waiting() > 0 && !c.schedulePending {
		c.schedulePending = true
		c.sim.after(scheduleInterval, func() {
			c.schedulePending = false
			c.schedule()
		})
	}
}

func (c *cluster) replicaIndex(id structs.ReplicaID) int {
	for i, r := range c.engines {
		if r.engine.id == id {
			return i
		}
	}
	return -1
}

// dispatch sends a call to a replica through the call's host.
func (c *cluster) dispatch(call *callRun, replica int) {
	delete(c.waiting, call.id)
	c.inFlight[call.id] = call
	call.replica = replica
	c.sim.after(2*c.deployment.HostDelay, func() { c.submit(call) })
}

// submit passes a call to its engine. A dead engine refuses the connection, and the
// call returns to the dispatcher.
func (c *cluster) submit(call *callRun) {
	if call.closed {
		return
	}
	r := c.engines[call.replica]
	if r.engine.dead {
		c.retry(call)
		return
	}
	run := call.run
	t := run.turns[call.turn]
	ec := &engineCall{
		program: run.number, prefix: run.prefix, prefixTokens: run.prefixTokens,
		prompt: run.prompt(call.turn), output: t.output,
	}
	ec.onAdmit = func(cached int64) { c.collector.recordPrefill(run, ec.prompt, cached, c.sim.now) }
	ec.onDone = func(result engineResult) { c.completeCall(call, result) }
	call.engine = ec
	r.engine.submit(ec)
}

// completeCall delivers the result of a call to its caller and to the dispatcher.
func (c *cluster) completeCall(call *callRun, result engineResult) {
	call.closed = true
	run := call.run
	run.root.attained += call.engine.prompt - result.cached + call.engine.output
	c.collector.recordServed(call, result, c.sim.now)
	run.addHolder(c.engines[call.replica].engine.id)
	callResult := sched.CallResult{
		Answered: true, PromptTokens: call.engine.prompt, CachedTokens: result.cached,
		CompletionTokens: call.engine.output, FirstToken: result.firstToken, Total: result.total,
	}
	c.sim.after(2*c.deployment.HostDelay, func() { c.releaseSlot(call, callResult) })
	c.sim.after(c.deployment.HostDelay+c.deployment.ClientDelay, func() { c.handleResponse(call) })
}

// releaseSlot frees a call's slot at the dispatcher.
func (c *cluster) releaseSlot(call *callRun, result sched.CallResult) {
	if _, held := c.inFlight[call.id]; !held {
		return
	}
	delete(c.inFlight, call.id)
	if c.dispatcherUp {
		c.policy.Done(call.id, result, c.sim.now)
		c.schedule()
	}
}

// retry queues a call again after its replica failed, and excludes that replica.
func (c *cluster) retry(call *callRun) {
	c.releaseSlot(call, sched.CallResult{})
	call.exclude = append(call.exclude, c.engines[call.replica].engine.id)
	call.engine = nil
	c.sim.after(2*c.deployment.HostDelay, func() { c.enqueue(call) })
}

// dispatchLocally places a call without a dispatcher: on the replica with the
// program's cache if it has a free slot, otherwise on the less loaded of two random
// live replicas. Load is the last report plus the host's own calls in flight.
func (c *cluster) dispatchLocally(call *callRun) {
	if _, waits := c.waiting[call.id]; !waits || c.dispatcherUp || call.closed {
		return
	}
	if holder, ok := c.holderWithCapacity(call); ok {
		c.dispatch(call, holder)
		return
	}
	first, second := c.randomReplica(), c.randomReplica()
	if c.localLoad(call.host, second) < c.localLoad(call.host, first) {
		first = second
	}
	c.dispatch(call, first)
}

// holderWithCapacity returns the replica that holds the program's cache, if the host
// list shows it as live and its load is below its slots.
func (c *cluster) holderWithCapacity(call *callRun) (int, bool) {
	if len(call.run.holders) == 0 || slices.Contains(call.exclude, call.run.holders[0]) {
		return 0, false
	}
	index := c.replicaIndex(call.run.holders[0])
	r := c.engines[index]
	return index, r.listed && !r.leaving && c.localLoad(call.host, index) < c.deployment.Engine.Slots
}

// randomReplica picks a replica that the host list shows as live.
func (c *cluster) randomReplica() int {
	for {
		index := c.random.IntN(len(c.engines))
		if r := c.engines[index]; r.listed && !r.leaving {
			return index
		}
	}
}

// localLoad returns a replica's load as a host estimates it: the last report plus the
// host's own calls in flight.
func (c *cluster) localLoad(host, replica int) int {
	report := c.engines[replica].report
	load := report.Running + report.Queued
	for _, call := range c.inFlight {
		if call.host == host && call.replica == replica {
			load++
		}
	}
	return load
}

// replicaFailureDelay is the time until hosts detect that a replica died with their
// calls.
const replicaFailureDelay = 50 * time.Millisecond
