package bench

import (
	"slices"
	"time"

	"cowslipgw/internal/sched"
	"cowslipgw/internal/structs"
)

// enqueue brings a call to the dispatcher.
func (c *cluster) enqueue(call *callRun) {
	if call.closed {
		return
	}
	if call.queued == 0 {
		call.queued = c.sim.now
	}
	c.waiting[call.id] = call
	if !c.dispatcherUp {
		c.sim.after(localAfter, func() { c.chooseLocally(call) })
		return
	}
	c.policy.Enqueue(c.toCall(call), c.sim.now)
	c.schedule()
}

// toCall is what the policy knows of a call.
func (c *cluster) toCall(call *callRun) *sched.Call {
	run := call.run
	account := c.deployment.Accounts[run.account]
	return &sched.Call{
		ID: call.id, Account: structs.AccountID(account.Name), Weight: account.Weight,
		Program: run.number, PromptTokens: run.prompt(call.turn), MaxTokens: maxTokens,
		Prefix: run.prefix, PrefixTokens: run.prefixTokens,
		Holders: run.holders, Attained: run.root.attained,
		Exclude: call.exclude, Arrived: call.queued,
	}
}

// maxTokens is the limit on a completion that callers send.
const maxTokens = 4096

// schedule starts the waiting calls that can start, and again soon if some wait.
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
	if c.policy.Waiting() > 0 && !c.ticking {
		c.ticking = true
		c.sim.after(decideEvery, func() {
			c.ticking = false
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

// dispatch sends a call through its host to a replica.
func (c *cluster) dispatch(call *callRun, replica int) {
	delete(c.waiting, call.id)
	c.inFlight[call.id] = call
	call.replica = replica
	c.sim.after(2*c.deployment.HostDelay, func() { c.submit(call) })
}

// submit hands a call to its engine. A dead one refuses the connection, and the
// call goes back to the dispatcher.
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
	ec.admitted = func(cached int64) { c.collect.prefill(run, ec.prompt, cached, c.sim.now) }
	ec.done = func(result engineResult) { c.finish(call, result) }
	call.engine = ec
	r.engine.submit(ec)
}

// finish takes the result of a call to its caller and to the dispatcher.
func (c *cluster) finish(call *callRun, result engineResult) {
	call.closed = true
	run := call.run
	run.root.attained += call.engine.prompt - result.cached + call.engine.output
	c.collect.served(call, result, c.sim.now)
	run.held(c.engines[call.replica].engine.id)
	finish := sched.Finish{
		Answered: true, PromptTokens: call.engine.prompt, CachedTokens: result.cached,
		CompletionTokens: call.engine.output, FirstToken: result.firstToken, Total: result.total,
	}
	c.sim.after(2*c.deployment.HostDelay, func() { c.release(call, finish) })
	c.sim.after(c.deployment.HostDelay+c.deployment.ClientDelay, func() { c.answered(call) })
}

// release ends a call at the dispatcher.
func (c *cluster) release(call *callRun, finish sched.Finish) {
	if _, held := c.inFlight[call.id]; !held {
		return
	}
	delete(c.inFlight, call.id)
	if c.dispatcherUp {
		c.policy.Done(call.id, finish, c.sim.now)
		c.schedule()
	}
}

// retry queues a call again that a replica failed.
func (c *cluster) retry(call *callRun) {
	c.release(call, sched.Finish{})
	call.exclude = append(call.exclude, c.engines[call.replica].engine.id)
	call.engine = nil
	c.sim.after(2*c.deployment.HostDelay, func() { c.enqueue(call) })
}

// chooseLocally is what a host does without a dispatcher: the replica with the
// program's cache if it has room, or else the less loaded of two random live ones,
// by the last report and the host's own calls.
func (c *cluster) chooseLocally(call *callRun) {
	if _, waits := c.waiting[call.id]; !waits || c.dispatcherUp || call.closed {
		return
	}
	if holder, ok := c.holderWithRoom(call); ok {
		c.dispatch(call, holder)
		return
	}
	first, second := c.randomReplica(), c.randomReplica()
	if c.localLoad(call.host, second) < c.localLoad(call.host, first) {
		first = second
	}
	c.dispatch(call, first)
}

// holderWithRoom returns the replica that holds the program's cache if it is listed
// as live and its load is below its slots.
func (c *cluster) holderWithRoom(call *callRun) (int, bool) {
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

// replicaDown is when hosts notice that a replica died with their calls.
const replicaDown = 50 * time.Millisecond
