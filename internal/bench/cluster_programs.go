package bench

import (
	"fmt"
	"time"

	"cowslipgw/internal/structs"
)

const (
	// maxTries is how often a caller repeats a call that was refused for the rate before
	// it gives the program up.
	maxTries = 5
	// retryJitter spreads the repetitions of refused calls.
	retryJitter = 500 * time.Millisecond
	// reconnectAfter is when a caller repeats a call whose host died.
	reconnectAfter = time.Second
)

// startProgram begins a program; parent is nil for a root.
func (c *cluster) startProgram(p *program, parent *programRun, ended func()) {
	run := &programRun{program: p, began: c.sim.now, ended: ended}
	run.root = run
	if parent != nil {
		run.root = parent.root
	}
	c.runs[p.number] = run
	c.callTurn(run, 0)
}

// callTurn sends one call of a program.
func (c *cluster) callTurn(run *programRun, index int) {
	c.calls++
	call := &callRun{
		id: structs.CallID(fmt.Sprintf("call-%d", c.calls)), sequence: c.calls,
		run: run, turn: index, asked: c.sim.now,
	}
	c.send(call)
}

// send takes a call to an entry host.
func (c *cluster) send(call *callRun) {
	call.host = c.hostFor(call)
	c.sim.after(c.deployment.ClientDelay, func() { c.admit(call) })
}

// hostFor picks a program's entry host among those that take new calls.
func (c *cluster) hostFor(call *callRun) int {
	for i := range len(c.hosts) {
		host := int((call.run.root.number*2654435761 + uint64(i+call.tries)) % uint64(len(c.hosts)))
		if !c.hosts[host].dead && !c.hosts[host].leaving {
			return host
		}
	}
	return 0
}

// admit applies the account's rate.
func (c *cluster) admit(call *callRun) {
	if c.hosts[call.host].dead {
		c.decided(call, false, 0)
		return
	}
	c.limiter.admit(call.run.account, call.host, func(admitted bool, retryAfter time.Duration) {
		c.decided(call, admitted, retryAfter)
	})
}

// decided goes on with a call that was admitted or refused for the rate. The caller of
// a host that has died connects to another one.
func (c *cluster) decided(call *callRun, admitted bool, retryAfter time.Duration) {
	if c.hosts[call.host].dead {
		c.sim.after(reconnectAfter, func() { c.send(call) })
		return
	}
	c.collect.rate.observe(call.run.account, admitted, c.sim.now, c.limiter.travel())
	if admitted {
		c.collect.offered(call, c.sim.now)
		c.sim.after(c.deployment.HostDelay, func() { c.enqueue(call) })
		return
	}
	call.tries++
	if call.tries > maxTries {
		c.endProgram(call.run, true)
		return
	}
	jitter := time.Duration(c.random.Int64N(int64(retryJitter)))
	c.sim.after(2*c.deployment.ClientDelay+retryAfter+jitter, func() { c.send(call) })
}

// answered continues a program after the response to a call.
func (c *cluster) answered(call *callRun) {
	run := call.run
	t := run.turns[call.turn]
	if call.turn == len(run.turns)-1 {
		c.endProgram(run, false)
		return
	}
	proceed := func() {
		run.pending--
		if run.pending == 0 {
			c.callTurn(run, call.turn+1)
		}
	}
	if t.person {
		run.persons += t.pause
	}
	run.pending = 1 + len(t.agents)
	c.sim.after(t.pause, proceed)
	for _, agent := range t.agents {
		c.startProgram(agent, run, proceed)
	}
}

// endProgram ends a program and releases its cache.
func (c *cluster) endProgram(run *programRun, failed bool) {
	run.finished = c.sim.now
	run.over = true
	run.failed = failed
	c.sim.after(2*c.deployment.HostDelay, func() {
		for _, r := range c.engines {
			r.engine.cache.release(run.number)
		}
	})
	delete(c.runs, run.number)
	if run.ended != nil {
		run.ended()
		return
	}
	if c.measured(run.program) {
		c.open--
		c.collect.ended(run)
	}
}
