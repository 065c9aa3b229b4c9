package bench

import (
	"cmp"
	"slices"
	"time"
)

// Phases of a run. Programs arrive until arrivalEnd. Those that start between warmUp
// and measurementEnd are measured. The run continues until all measured programs have
// ended, at most until maxRunTime. The longest programs take about 15 minutes, so the
// load is steady after warmUp.
const (
	warmUp         = 900 * time.Second
	measurementEnd = 1800 * time.Second
	arrivalEnd     = 2400 * time.Second
	maxRunTime     = 3600 * time.Second
)

// workload holds the programs of one run and the rate limits of their accounts.
type workload struct {
	programs []*program
	limits   []accountLimit
}

// accountLimit is an account's rate, in calls a second, and burst.
type accountLimit struct {
	rate  float64
	burst int64
}

const (
	// rateMargin is the ratio of an account's rate limit to its mean rate of calls.
	rateMargin = 1.5
	// burstSeconds is the burst in seconds of the rate; minBurst is its minimum.
	burstSeconds = 20
	minBurst     = 20
)

// newWorkload draws the programs of a run. Each account's load is a fraction of the
// pool's capacity, as shape defines.
func newWorkload(d Deployment, seed uint64, shape workloadShape) workload {
	w := workload{limits: make([]accountLimit, len(d.Accounts))}
	capacity := time.Duration(d.Replicas) * arrivalEnd
	for i := range d.Accounts {
		// Each account has its own generator, so that a run without the noisy account
		// has the same programs of the other accounts.
		g := newGenerator(d, seed<<8+uint64(i))
		g.lastNumber = uint64(i) * 1_000_000
		load := shape.load(i)
		normal := g.accountPrograms(i, time.Duration(load*float64(capacity)), arrivalEnd)
		w.limits[i] = limitFor(normal)
		if excess := shape.excess(i); excess > 0 {
			normal = append(normal, g.accountPrograms(i, time.Duration(excess*load*float64(capacity)), arrivalEnd)...)
		}
		if shape.absent == nil || *shape.absent != i {
			w.programs = append(w.programs, normal...)
		}
	}
	if shape.loopCount > 0 {
		w.programs = append(w.programs, loopingPrograms(d, seed, shape.loopCount)...)
	}
	slices.SortFunc(w.programs, func(a, b *program) int {
		return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.number, b.number))
	})
	return w
}

// limitFor derives an account's rate limit from its calls during the arrival phase.
func limitFor(programs []*program) accountLimit {
	calls := 0
	for _, p := range programs {
		calls += p.calls()
	}
	rate := rateMargin * float64(calls) / arrivalEnd.Seconds()
	return accountLimit{rate: rate, burst: max(minBurst, int64(burstSeconds*rate))}
}

// workloadShape holds the workload parameters of a scenario.
type workloadShape struct {
	// load returns an account's load as a fraction of the pool's capacity.
	load func(account int) float64
	// excess returns an account's additional load, as a multiple of its regular load.
	excess func(account int) float64
	// absent is the index of an account whose programs are omitted, or nil.
	absent *int
	// loopCount is the number of programs that end only when their budget is
	// exhausted.
	loopCount int
}

// loopTurns is the call budget of a looping program.
const loopTurns = 400

// loopingPrograms draws programs that repeat the same tool call until their call
// budget is exhausted. Their start times are uniform over the first half of the
// arrival phase.
func loopingPrograms(d Deployment, seed uint64, count int) []*program {
	g := newGenerator(d, seed<<8+255)
	g.lastNumber = 255_000_000
	var programs []*program
	for i := range count {
		k := d.kinds[0]
		p := g.newProgram(i%len(d.Accounts), k)
		p.looping = true
		p.start = time.Duration(g.random.Float64() * float64(arrivalEnd/2))
		for range loopTurns {
			p.turns = append(p.turns, turn{input: 40, output: 60, pause: 100 * time.Millisecond})
		}
		programs = append(programs, p)
	}
	return programs
}
