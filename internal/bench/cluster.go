package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cowslipgw/internal/sched"
	"cowslipgw/internal/structs"
)

// cluster is one run: engines, a dispatcher with the policy under test, entry hosts
// as far as they matter to it, and callers.
type cluster struct {
	sim        simulation
	deployment Deployment
	scenario   Scenario
	spec       policySpec
	work       workload

	engines []*replicaRun
	hosts   []hostRun
	// random decides what does not belong to the workload: local choices, lost events and
	// jitter.
	random *rand.Rand

	policy sched.Policy
	// dispatcherUp is false from the death of the dispatcher's host to the view change.
	dispatcherUp   bool
	dispatcherHost int
	ticking        bool
	waiting        map[structs.CallID]*callRun
	inFlight       map[structs.CallID]*callRun
	calls          uint64

	limiter limiter
	// owners are the hosts that own the accounts' buckets.
	owners []int
	// ownerDown says until when the owner of an account's bucket cannot be asked.
	ownerDown []time.Duration
	runs      map[uint64]*programRun
	collect   *collector
	// open counts the measured programs that have not ended.
	open int
}

// replicaRun is an engine and what the hosts know of it.
type replicaRun struct {
	engine *engine
	index  int
	// listed and leaving are what the host list says.
	listed, leaving bool
	report          sched.Replica
}

// hostRun is an entry host.
type hostRun struct {
	dead, leaving bool
	diedAt        time.Duration
}

const (
	// reportEvery and reportLag are when replicas measure their load and how long the
	// report takes.
	reportEvery = time.Second
	reportLag   = 200 * time.Millisecond
	// eventLag is how late a cache event arrives, and eventLoss the share that never does.
	eventLag  = time.Second
	eventLoss = 0.1
	// listLag is how late the host list shows a change.
	listLag = 2 * time.Second
	// viewChange is the time from a host's death to the view without it.
	viewChange = 4 * time.Second
	// localAfter is when a host chooses a replica without a dispatcher.
	localAfter = 500 * time.Millisecond
	// decideEvery is how often the dispatcher decides again while calls wait.
	decideEvery = 20 * time.Millisecond
)

func newCluster(d Deployment, s Scenario, spec policySpec, w workload, seed uint64) *cluster {
	c := &cluster{
		deployment: d, scenario: s, spec: spec, work: w,
		hosts:  make([]hostRun, d.Hosts),
		random: rand.New(rand.NewPCG(seed, 0xda3e39cb94b95bdb)),
		policy: spec.make(), dispatcherUp: true,
		waiting:   make(map[structs.CallID]*callRun),
		inFlight:  make(map[structs.CallID]*callRun),
		ownerDown: make([]time.Duration, len(d.Accounts)),
		runs:      make(map[uint64]*programRun),
		collect:   newCollector(d, w),
	}
	for account := range d.Accounts {
		c.owners = append(c.owners, (account+1)%d.Hosts)
	}
	if spec.shares {
		c.limiter = newShareLimiter(w.limits, d.Hosts, func() time.Duration { return c.sim.now })
	} else {
		c.limiter = newOwnerLimiter(c)
	}
	for i := range d.Replicas {
		c.addReplica(i)
	}
	return c
}

func (c *cluster) addReplica(index int) {
	id := structs.ReplicaID(fmt.Sprintf("replica-%02d", index))
	r := &replicaRun{index: index, listed: true, report: sched.Replica{ID: id}}
	r.engine = newEngine(&c.sim, id, c.deployment.Engine, func(program uint64) { c.cacheEvent(id, program) })
	c.engines = append(c.engines, r)
	offset := reportEvery * time.Duration(index) / time.Duration(c.deployment.Replicas)
	c.sim.at(offset, func() { c.measure(r) })
}

// run runs to the end of the measured programs.
func (c *cluster) run() {
	for _, p := range c.work.programs {
		if c.measured(p) {
			c.open++
		}
		c.sim.at(p.start, func() { c.startProgram(p, nil, nil) })
	}
	if c.scenario.faults != nil {
		c.scenario.faults(c)
	}
	c.sim.runUntil(most, func() bool { return c.open == 0 })
}

// measured says whether a root program counts.
func (c *cluster) measured(p *program) bool {
	return !p.loops && p.start >= warmUp && p.start < measureEnd
}

// measure takes a load report of a replica and delivers it later.
func (c *cluster) measure(r *replicaRun) {
	if !r.engine.dead {
		report := sched.Replica{
			ID: r.engine.id, Reported: true, ReportedAt: c.sim.now,
			Running: len(r.engine.running), Queued: len(r.engine.queue), Slots: c.deployment.Engine.Slots,
			CacheTokens: r.engine.cache.used, CacheLimit: c.deployment.Engine.CacheTokens,
			Programs: r.engine.cache.programs(),
		}
		c.sim.after(c.scenario.lag(), func() {
			r.report = report
			c.schedule()
		})
	}
	c.sim.after(reportEvery, func() { c.measure(r) })
}

// cacheEvent tells a program's owner that a replica evicted it: late, or never.
func (c *cluster) cacheEvent(replica structs.ReplicaID, program uint64) {
	run := c.runs[program]
	if run == nil || c.random.Float64() < eventLoss {
		return
	}
	c.sim.after(eventLag, func() { run.dropHolder(replica) })
}

// snapshot is what the dispatcher knows of the replicas.
func (c *cluster) snapshot() sched.Snapshot {
	var s sched.Snapshot
	for _, r := range c.engines {
		if r.listed {
			info := r.report
			info.Leaving = r.leaving
			s.Replicas = append(s.Replicas, info)
		}
	}
	return s
}
