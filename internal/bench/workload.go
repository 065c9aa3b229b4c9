package bench

import (
	"cmp"
	"slices"
	"time"
)

// Times of a run. Programs arrive until arrivals. Those that start between warmUp
// and measureEnd are measured; the run goes on until they have ended, or until most.
// The longest programs take about 15 minutes, so that the load is steady after
// warmUp.
const (
	warmUp     = 900 * time.Second
	measureEnd = 1800 * time.Second
	arrivals   = 2400 * time.Second
	most       = 3600 * time.Second
)

// workload is what the callers of one run do.
type workload struct {
	programs []*program
	limits   []accountLimit
}

// accountLimit is the rate in calls a second and the burst of an account.
type accountLimit struct {
	rate  float64
	burst int64
}

const (
	// rateMargin is the account's rate as a multiple of the mean of its calls.
	rateMargin = 1.5
	// burstSeconds is the burst as seconds of rate, and minBurst its least value.
	burstSeconds = 20
	minBurst     = 20
)

// newWorkload draws the programs of a run: each account gets its share of load times
// the capacity of the pool.
func newWorkload(d Deployment, seed uint64, shape workloadShape) workload {
	w := workload{limits: make([]accountLimit, len(d.Accounts))}
	capacity := time.Duration(d.Replicas) * arrivals
	for i := range d.Accounts {
		// An account's programs do not depend on the other accounts, so that a run without the
		// loud account has the same programs of the others.
		g := newGenerator(d, seed<<8+uint64(i))
		g.next = uint64(i) * 1_000_000
		load := shape.load(i)
		normal := g.account(i, time.Duration(load*float64(capacity)), arrivals)
		w.limits[i] = limitFor(normal)
		if extra := shape.extra(i); extra > 0 {
			normal = append(normal, g.account(i, time.Duration(extra*load*float64(capacity)), arrivals)...)
		}
		if shape.absent == nil || *shape.absent != i {
			w.programs = append(w.programs, normal...)
		}
	}
	if shape.loops > 0 {
		w.programs = append(w.programs, loopingPrograms(d, seed, shape.loops)...)
	}
	slices.SortFunc(w.programs, func(a, b *program) int {
		return cmp.Or(cmp.Compare(a.start, b.start), cmp.Compare(a.number, b.number))
	})
	return w
}

// limitFor sets an account's rate from its calls within the time of arrivals.
func limitFor(programs []*program) accountLimit {
	calls := 0
	for _, p := range programs {
		calls += p.calls()
	}
	rate := rateMargin * float64(calls) / arrivals.Seconds()
	return accountLimit{rate: rate, burst: max(minBurst, int64(burstSeconds*rate))}
}

// workloadShape is how a scenario changes the workload.
type workloadShape struct {
	// load returns an account's work as a share of the pool's capacity.
	load func(account int) float64
	// extra returns how much an account sends beyond that, as a multiple.
	extra func(account int) float64
	// absent leaves out the programs of one account.
	absent *int
	// loops is how many programs never end by themselves.
	loops int
}

// loopTurns is the budget of a looping program in calls.
const loopTurns = 400

// loopingPrograms draws programs that call the same tool again and again until their
// budget of calls ends. They start spread over the first half of the run.
func loopingPrograms(d Deployment, seed uint64, count int) []*program {
	g := newGenerator(d, seed<<8+255)
	g.next = 255_000_000
	var programs []*program
	for i := range count {
		k := d.kinds[0]
		p := g.shell(i%len(d.Accounts), k)
		p.loops = true
		p.start = time.Duration(g.random.Float64() * float64(arrivals/2))
		for range loopTurns {
			p.turns = append(p.turns, turn{input: 40, output: 60, pause: 100 * time.Millisecond})
		}
		programs = append(programs, p)
	}
	return programs
}
