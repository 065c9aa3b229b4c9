package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cowslipgw/internal/sched"
	"cowslipgw/internal/structs"
)

// cluster is the state of one run: the engines, the dispatcher with the policy under
// test, callers, and those aspects of entry hosts that affect scheduling.
type cluster struct {
	sim        simulation
	deployment Deployment
	scenario   Scenario
	spec       policySpec
	workload   workload

	engines []*replicaState
	hosts   []hostState
	// random drives everything outside the workload: local replica choices, lost
	// cache events and jitter.
	random *rand.Rand

	policy sched.Policy
	// dispatcherUp is false from the death of the dispatcher's host until the view
	// changes.
	dispatcherUp    bool
	dispatcherHost  int
	schedulePending bool
	waiting         map[structs.CallID]*callRun
	inFlight        map[structs.CallID]*callRun
	callCount       uint64

	limiter limiter
	// owners holds, for each account, the host that owns its token bucket.
	owners []int
	// ownerDownUntil holds, for each account, the time until which its bucket's owner
	// is unreachable.
	ownerDownUntil []time.Duration
	runs           map[uint64]*programRun
	collector      *collector
	// unfinished counts the measured programs that have not ended.
	unfinished int
}

// replicaState is an engine and what the hosts have observed about it.
type replicaState struct {
	engine *engine
	index  int
	// listed and leaving mirror the host list.
	listed, leaving bool
	report          sched.Replica
}

// hostState is the state of an entry host.
type hostState struct {
	dead, leaving bool
	diedAt        time.Duration
}

const (
	// reportInterval is how often a replica measures its load; reportLag is the
	// delivery delay of the report.
	reportInterval = time.Second
	reportLag      = 200 * time.Millisecond
	// eventLag is the delivery delay of a cache event; eventLossRate is the fraction
	// of events that are lost.
	eventLag      = time.Second
	eventLossRate = 0.1
	// listLag is how far the host list lags behind a change.
	listLag = 2 * time.Second
	// viewChangeDelay is the time from a host's death to the view that excludes it.
	viewChangeDelay = 4 * time.Second
	// localFallbackDelay is how long a call waits for a missing dispatcher before its
	// host chooses a replica itself.
	localFallbackDelay = 500 * time.Millisecond
	// scheduleInterval is how often the dispatcher schedules again while calls wait.
	scheduleInterval = 20 * time.Millisecond
)

func newCluster(d Deployment, s Scenario, spec policySpec, w workload, seed uint64) *cluster {
	c := &cluster{
		deployment: d, scenario: s, spec: spec, workload: w,
		hosts:  make([]hostState, d.Hosts),
		random: rand.New(rand.NewPCG(seed, 0xda3e39cb94b95bdb)),
		policy: spec.make(), dispatcherUp: true,
		waiting:        make(map[structs.CallID]*callRun),
		inFlight:       make(map[structs.CallID]*callRun),
		ownerDownUntil: make([]time.Duration, len(d.Accounts)),
		runs:           make(map[uint64]*programRun),
		collector:      newCollector(d, w),
	}
	for account := range d.Accounts {
		c.owners = append(c.owners, (account+1)%d.Hosts)
	}
	if spec.fixedShares {
		c.limiter = newFixedShareLimiter(w.limits, d.Hosts, func() time.Duration { return c.sim.now })
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
	r := &replicaState{index: index, listed: true, report: sched.Replica{ID: id}}
	r.engine = newEngine(&c.sim, id, c.deployment.Engine, func(program uint64) { c.cacheEvent(id, program) })
	c.engines = append(c.engines, r)
	offset := reportInterval * time.Duration(index) / time.Duration(c.deployment.Replicas)
	c.sim.at(offset, func() { c.reportLoad(r) })
}

// run executes the simulation until all measured programs have ended.
func (c *cluster) run() {
	for _, p := range c.workload.programs {
		if c.isMeasured(p) {
			c.unfinished++
		}
		c.sim.at(p.start, func() { c.startProgram(p, nil, nil) })
	}
	if c.scenario.faults != nil {
		c.scenario.faults(c)
	}
	c.sim.runUntil(maxRunTime, func() bool { return c.unfinished == 0 })
}

// isMeasured reports whether a root program counts towards the measures.
func (c *cluster) isMeasured(p *program) bool {
	return !p.looping && p.start >= warmUp && p.start < measurementEnd
}

// reportLoad samples the load of a replica, delivers the report after the lag and
// schedules the next sample.
func (c *cluster) reportLoad(r *replicaState) {
	if !r.engine.dead {
		report := sched.Replica{
			ID: r.engine.id, Reported: true, ReportedAt: c.sim.now,
			Running: len(r.engine.running), Queued: len(r.engine.queue), Slots: c.deployment.Engine.Slots,
			CacheTokens: r.engine.cache.used, CacheLimit: c.deployment.Engine.CacheTokens,
			Programs: r.engine.cache.programs(),
		}
		c.sim.after(c.scenario.loadReportLag(), func() {
			r.report = report
			c.schedule()
		})
	}
	c.sim.after(reportInterval, func() { c.reportLoad(r) })
}

// cacheEvent informs a program's owner that a replica evicted its cache. Events
// arrive late, and some are lost.
func (c *cluster) cacheEvent(replica structs.ReplicaID, program uint64) {
	run := c.runs[program]
	if run == nil || c.random.Float64() < eventLossRate {
		return
	}
	c.sim.after(eventLag, func() { run.dropHolder(replica) })
}

// snapshot returns the dispatcher's view of the replicas.
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
