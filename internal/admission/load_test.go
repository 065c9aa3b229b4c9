package admission_test

import (
	"math/rand/v2"
	"time"

	"cowslipgw/internal/admission"
	"cowslipgw/internal/boottime"
)

const (
	testTick = 10 * time.Millisecond
	// testSlots is the number of slots of the kitchen's engines.
	testSlots = 264
	// turnTime is how long a turn occupies a slot, and toolTime the time between two turns.
	turnTime = 200 * time.Millisecond
	toolTime = 80 * time.Millisecond
	// testReportInterval is the interval between two reports of the hosts.
	testReportInterval = 200 * time.Millisecond
	// maxReturns is how often a caller comes back after a refusal.
	maxReturns = 3
	// minSteps and maxSteps limit the number of steps of a program, which follow each other. One in
	// doubleStep steps consists of two turns at the same time.
	minSteps   = 3
	maxSteps   = 11
	doubleStep = 5
	// meanTurns is the average number of turns of a program.
	meanTurns = (minSteps + maxSteps) / 2.0 * (1 + 1.0/doubleStep)
)

// testKind is a group of programs that arrive at random.
type testKind struct {
	route    string
	priority int
	// load is the arrival rate as a multiple of the rate that occupies all slots.
	load float64
	// untilNext is the expected number of arrivals up to the next one.
	untilNext float64
}

// testProgram is one program and what became of it.
type testProgram struct {
	id      uint64
	kind    *testKind
	arrived boottime.Instant
	time    time.Duration
	// steps holds the number of turns of each step that is left, and turns their sum at first.
	steps []int
	turns int
	// open is the number of turns of the current step that have not ended.
	open     int
	refusals int
	// begun and ended are 0 before.
	begun, ended boottime.Instant
}

func (p *testProgram) inTime() bool { return p.ended != 0 && p.ended.Sub(p.arrived) <= p.time }

// testLoad drives a pool and engines that serve turns in order of arrival.
type testLoad struct {
	pool *admission.Pool
	// timeFactor is the time of a program as a multiple of its duration on idle engines.
	timeFactor float64
	now        boottime.Instant
	rng        *rand.Rand
	kinds      []*testKind
	due        map[int64][]func()
	// busy counts the slots in use; queue holds the turns that wait for one.
	busy     int
	queue    []*testProgram
	inFlight map[uint32]int
	programs []*testProgram
	// onAdmit, if set, is called with each decision.
	onAdmit func(p *testProgram, d admission.Decision)
	// silent is set while the hosts send no reports.
	silent bool
	// maxInFlight is the highest number of turns in flight.
	maxInFlight int
}

func newTestLoad(seed uint64, kinds ...*testKind) *testLoad {
	l := &testLoad{pool: admission.NewPool(), timeFactor: 2, now: boottime.Instant(time.Hour), rng: rand.New(rand.NewPCG(seed, 1)), kinds: kinds,
		due: make(map[int64][]func()), inFlight: make(map[uint32]int)}
	l.pool.SetSlots(testSlots)
	return l
}

// run lets time pass.
func (l *testLoad) run(d time.Duration) {
	for end := l.now.Add(d); l.now < end; l.now = l.now.Add(testTick) {
		tick := int64(l.now) / int64(testTick)
		for _, f := range l.due[tick] {
			f()
		}
		delete(l.due, tick)
		if tick%int64(testReportInterval/testTick) == 0 {
			l.report()
		}
		for _, k := range l.kinds {
			perTick := k.load * testSlots / meanTurns * testTick.Seconds() / turnTime.Seconds()
			for k.untilNext -= perTick; k.untilNext < 0; k.untilNext += l.rng.ExpFloat64() {
				l.ask(l.newProgram(k))
			}
		}
		l.maxInFlight = max(l.maxInFlight, l.busy+len(l.queue))
	}
}

func (l *testLoad) report() {
	if l.silent {
		// The owner drops the reports of silent hosts.
		l.pool.Observe(l.now, nil)
		return
	}
	l.pool.Observe(l.now, l.inFlight)
}

// after calls f after d, and no earlier than in the next tick.
func (l *testLoad) after(d time.Duration, f func()) {
	tick := int64(l.now.Add(max(d, testTick)+testTick-1)) / int64(testTick)
	l.due[tick] = append(l.due[tick], f)
}

func (l *testLoad) newProgram(k *testKind) *testProgram {
	p := &testProgram{id: uint64(len(l.programs) + 1), kind: k, arrived: l.now}
	for range minSteps + l.rng.IntN(maxSteps-minSteps+1) {
		turns := 1
		if l.rng.IntN(doubleStep) == 0 {
			turns = 2
		}
		p.steps, p.turns = append(p.steps, turns), p.turns+turns
	}
	p.time = time.Duration(l.timeFactor * float64(time.Duration(len(p.steps))*(turnTime+toolTime)))
	l.programs = append(l.programs, p)
	return p
}

// request returns the request to admit a program now.
func (l *testLoad) request(p *testProgram) admission.Request {
	return admission.Request{Service: "s", Program: p.id, Route: p.kind.route, Priority: p.kind.priority, TimeLeft: p.time - l.now.Sub(p.arrived)}
}

// ask asks for a place. A refused program returns on time while it is not late.
func (l *testLoad) ask(p *testProgram) {
	d := l.pool.Admit(l.now, l.request(p))
	if l.onAdmit != nil {
		l.onAdmit(p, d)
	}
	switch {
	case d.Admitted():
		p.begun = l.now
		l.step(p)
	case p.refusals < maxReturns && l.now.Add(d.RetryAfter).Sub(p.arrived) < p.time:
		l.after(d.RetryAfter, func() { l.ask(p) })
		fallthrough
	default:
		p.refusals++
	}
}

// step begins the next step of a program.
func (l *testLoad) step(p *testProgram) {
	if len(p.steps) == 0 {
		p.ended = l.now.Add(-toolTime)
		return
	}
	p.open, p.steps = p.steps[0], p.steps[1:]
	for range p.open {
		l.inFlight[admission.Hash(p.kind.route)]++
		l.queue = append(l.queue, p)
	}
	l.dispatch()
}

// dispatch begins the turns for which there are slots.
func (l *testLoad) dispatch() {
	for l.busy < testSlots && len(l.queue) > 0 {
		p := l.queue[0]
		l.queue = l.queue[1:]
		l.busy++
		l.after(turnTime, func() {
			l.busy--
			l.inFlight[admission.Hash(p.kind.route)]--
			if p.open--; p.open == 0 {
				l.after(toolTime, func() { l.step(p) })
			}
			l.dispatch()
		})
	}
}

// arrivedIn returns the programs of a kind that arrived in a time, of all kinds if k is nil.
func (l *testLoad) arrivedIn(k *testKind, from, to boottime.Instant) []*testProgram {
	var arrived []*testProgram
	for _, p := range l.programs {
		if (k == nil || p.kind == k) && p.arrived >= from && p.arrived < to {
			arrived = append(arrived, p)
		}
	}
	return arrived
}

// share returns the share of programs with a property; 0 if there are no programs.
func share(programs []*testProgram, has func(*testProgram) bool) float64 {
	n := 0
	for _, p := range programs {
		if has(p) {
			n++
		}
	}
	return float64(n) / float64(max(len(programs), 1))
}

func wasAdmitted(p *testProgram) bool   { return p.begun != 0 }
func wasRefused(p *testProgram) bool    { return p.refusals > 0 }
func endedInTime(p *testProgram) bool   { return p.inTime() }
func admittedFirst(p *testProgram) bool { return p.begun != 0 && p.refusals == 0 }

// where returns the programs with a property.
func where(programs []*testProgram, has func(*testProgram) bool) []*testProgram {
	var found []*testProgram
	for _, p := range programs {
		if has(p) {
			found = append(found, p)
		}
	}
	return found
}
