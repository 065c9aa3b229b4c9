package bench

import (
	"math"
	"slices"
	"time"
)

// distribution summarizes values, which it sorts.
func distribution(values []float64) Distribution {
	if len(values) == 0 {
		return Distribution{}
	}
	slices.Sort(values)
	total := 0.0
	for _, v := range values {
		total += v
	}
	return Distribution{
		Mean: total / float64(len(values)),
		P50:  quantile(values, 0.50),
		P95:  quantile(values, 0.95),
		P99:  quantile(values, 0.99),
	}
}

// quantile is the nearest-rank quantile of sorted values.
func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(math.Ceil(q * float64(len(sorted))))
	return sorted[max(0, rank-1)]
}

func p95Milliseconds(values []time.Duration) float64 {
	sorted := make([]float64, 0, len(values))
	for _, v := range values {
		sorted = append(sorted, float64(v)/float64(time.Millisecond))
	}
	slices.Sort(sorted)
	return quantile(sorted, 0.95)
}

// result computes the measures of a finished run.
func (c *cluster) result(seed uint64) Result {
	r := Result{
		Deployment: c.deployment.Name, Scenario: c.scenario.Name, Policy: c.spec.name, Seed: seed,
		Unfinished: c.open, Cut: c.collect.cut,
		Requests: c.collect.rate.requests, Refused: c.collect.rate.refused, WrongRefusals: c.collect.rate.wrong,
		FirstTokenP95: p95Milliseconds(c.collect.firstTokens),
		InterTokenP95: p95Milliseconds(c.collect.interTokens),
		WastedCache:   ratio(float64(c.collect.recomputed), float64(c.collect.prefilled)),
		Load:          c.load(),
		Busy:          c.busy(),
	}
	c.addPrograms(&r)
	c.addAccounts(&r)
	return r
}

// addPrograms fills in latency and slowdown. A program that has not ended counts
// with its latency so far; one that gave up after refusals does not count.
func (c *cluster) addPrograms(r *Result) {
	var latencies, slowdowns []float64
	byAccount := make([][]float64, len(c.deployment.Accounts))
	for _, run := range c.finishedAndOpen() {
		r.Programs++
		if run.failed {
			r.Failed++
			continue
		}
		latency := run.latency()
		slowdown := float64(latency) / float64(run.alone(c.deployment.Engine, c.overhead()))
		latencies = append(latencies, latency.Seconds())
		slowdowns = append(slowdowns, slowdown)
		byAccount[run.account] = append(byAccount[run.account], slowdown)
	}
	r.Latency = distribution(latencies)
	r.Slowdown = distribution(slowdowns)
	for i, account := range c.deployment.Accounts {
		r.Accounts = append(r.Accounts, AccountResult{
			Name: account.Name, Programs: len(byAccount[i]),
			SlowdownP95: distribution(byAccount[i]).P95,
		})
	}
}

// finishedAndOpen returns the measured programs; those in progress end now.
func (c *cluster) finishedAndOpen() []*programRun {
	runs := slices.Clone(c.collect.programs)
	for _, run := range c.runs {
		if run.root == run && c.measured(run.program) {
			run.finished = c.sim.now
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(a, b *programRun) int { return int(a.number) - int(b.number) })
	return runs
}

// overhead is the least time of a call outside engines: to the host, to the
// dispatcher and back, to the replica and back.
func (c *cluster) overhead() time.Duration {
	return 2*c.deployment.ClientDelay + 4*c.deployment.HostDelay
}

// addAccounts fills in served over entitled and the worst-served account.
func (c *cluster) addAccounts(r *Result) {
	entitled := entitlements(c.deployment.Accounts, c.collect.offeredWork, c.collect.servedWork)
	r.LeastServed = math.Inf(1)
	for i := range r.Accounts {
		account := &r.Accounts[i]
		account.ServedOverEntitled = 1
		if entitled[i] > 0 {
			account.ServedOverEntitled = min(1, float64(c.collect.servedWork[i])/entitled[i])
		}
		if account.Programs == 0 || (c.scenario.paired && i == c.deployment.Loud) {
			continue
		}
		r.WorstSlowdown = max(r.WorstSlowdown, account.SlowdownP95)
		r.LeastServed = min(r.LeastServed, account.ServedOverEntitled)
	}
}

// entitlements divides the work that was served among the accounts by weighted
// max-min fairness: nobody is entitled to more than it offered.
func entitlements(accounts []Account, offered, served []time.Duration) []float64 {
	entitled := make([]float64, len(accounts))
	left := 0.0
	for _, s := range served {
		left += float64(s)
	}
	open := make([]int, 0, len(accounts))
	for i := range accounts {
		open = append(open, i)
	}
	// Accounts that ask for the least of their weight are satisfied first.
	slices.SortFunc(open, func(a, b int) int {
		return int(float64(offered[a])/accounts[a].Weight - float64(offered[b])/accounts[b].Weight)
	})
	for position, i := range open {
		weights := 0.0
		for _, j := range open[position:] {
			weights += accounts[j].Weight
		}
		entitled[i] = min(float64(offered[i]), left*accounts[i].Weight/weights)
		left -= entitled[i]
	}
	return entitled
}

// busy is the share of the run's time in which replicas ran a batch.
func (c *cluster) busy() float64 {
	total := time.Duration(0)
	for _, r := range c.engines {
		total += r.engine.busy
	}
	return ratio(float64(total), float64(c.sim.now)*float64(len(c.engines)))
}

// load is the work served in the measured time as a share of the pool's capacity.
func (c *cluster) load() float64 {
	total := time.Duration(0)
	for _, served := range c.collect.servedWork {
		total += served
	}
	return ratio(float64(total), float64(measureEnd-warmUp)*float64(len(c.engines)))
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
