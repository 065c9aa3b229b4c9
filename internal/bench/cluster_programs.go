package bench

import (
	"fmt"
	"time"

	"cowslipgw/internal/structs"
)

const (
	// maxRateRetries is how often a caller retries a call that the rate limiter
	// refused before it abandons the program.
	maxRateRetries = 5
	// retryJitter is the maximum random delay added to the retry of a refused call.
	retryJitter = 500 * time.Millisecond
	// reconnectDelay is the time until a caller retries a call whose host died.
	reconnectDelay = time.Second
)

// startProgram starts a program; parent is nil for a root.
func (c *cluster) startProgram(p *program, parent *programRun, ended func()) {
	run := &programRun{program: p, startedAt: c.sim.now, onEnd: ended}
	run.root = run
	if parent != nil {
		run.root = parent.root
	}
	c.runs[p.number] = run
	c.sendTurn(run, 0)
}

// sendTurn creates and sends the call of a turn.
func (c *cluster) sendTurn(run *programRun, index int) {
	c.callCount++
	call := &callRun{
		id: structs.CallID(fmt.Sprintf("call-%d", c.callCount)), sequence: c.callCount,
		run: run, turn: index, sentAt: c.sim.now,
	}
	c.send(call)
}

// send sends a call to an entry host.
func (c *cluster) send(call *callRun) {
	call.host = c.hostFor(call)
	c.sim.after(c.deployment.ClientDelay, func() { c.admit(call) })
}

// hostFor picks an entry host for a call by its root program's number, among the
// hosts that accept calls.
func (c *cluster) hostFor(call *callRun) int {
	for i := range len(c.hosts) {
		host := int((call.run.root.number*2654435761 + uint64(i+call.refusals)) % uint64(len(c.hosts)))
		if !c.hosts[host].dead && !c.hosts[host].leaving {
			return host
		}
	}
	return 0
}

// admit applies the account's rate limit.
func (c *cluster) admit(call *callRun) {
	if c.hosts[call.host].dead {
		c.handleAdmission(call, false, 0)
		return
	}
	c.limiter.admit(call.run.account, call.host, func(admitted bool, retryAfter time.Duration) {
		c.handleAdmission(call, admitted, retryAfter)
	})
}

// handleAdmission queues an admitted call or retries a refused one. If the host has
// died, the caller connects to another one.
func (c *cluster) handleAdmission(call *callRun, admitted bool, retryAfter time.Duration) {
	if c.hosts[call.host].dead {
		c.sim.after(reconnectDelay, func() { c.send(call) })
		return
	}
	c.collector.reference.observe(call.run.account, admitted, c.sim.now, c.limiter.responseDelay())
	if admitted {
		c.collector.recordOffered(call, c.sim.now)
		c.sim.after(c.deployment.HostDelay, func() { c.enqueue(call) })
		return
	}
	call.refusals++
	if call.refusals > maxRateRetries {
		c.endProgram(call.run, true)
		return
	}
	jitter := time.Duration(c.random.Int64N(int64(retryJitter)))
	c.sim.after(2*c.deployment.ClientDelay+retryAfter+jitter, func() { c.send(call) })
}

// handleResponse continues a program after the response to a call.
func (c *cluster) handleResponse(call *callRun) {
	run := call.run
	t := run.turns[call.turn]
	if call.turn == len(run.turns)-1 {
		c.endProgram(run, false)
		return
	}
	proceed := func() {
		run.pending--
		if run.pending == 0 {
			c.sendTurn(run, call.turn+1)
		}
	}
	if t.waitsForUser {
		run.userWait += t.pause
	}
	run.pending = 1 + len(t.subAgents)
	c.sim.after(t.pause, proceed)
	for _, agent := range t.subAgents {
		c.startProgram(agent, run, proceed)
	}
}

// endProgram ends a program and releases its cache on all replicas.
func (c *cluster) endProgram(run *programRun, failed bool) {
	run.finishedAt = c.sim.now
	run.over = true
	run.failed = failed
	c.sim.after(2*c.deployment.HostDelay, func() {
		for _, r := range c.engines {
			r.engine.cache.release(run.number)
		}
	})
	delete(c.runs, run.number)
	if run.onEnd != nil {
		run.onEnd()
		return
	}
	if c.isMeasured(run.program) {
		c.unfinished--
		c.collector.recordEnded(run)
	}
}
