package bench

import (
	"math"
	"slices"
	"time"
)

// distribution summarizes values. It sorts them in place.
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

// quantile returns the nearest-rank quantile of sorted values.
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
		Unfinished: c.unfinished, Interrupted: c.collector.interrupted,
		Requests: c.collector.reference.requests, Refused: c.collector.reference.refused, WrongRefusals: c.collector.reference.wrongRefusals,
		FirstTokenP95: p95Milliseconds(c.collector.firstTokens),
		InterTokenP95: p95Milliseconds(c.collector.interTokens),
		WastedCache:   ratio(float64(c.collector.recomputed), float64(c.collector.prefilled)),
		Load:          c.servedLoad(),
		Utilization:   c.utilization(),
	}
	c.addPrograms(&r)
	c.addAccounts(&r)
	return r
}

// addPrograms computes latency and slowdown. An unfinished program counts with its
// latency so far; one that was abandoned after refusals is excluded.
func (c *cluster) addPrograms(r *Result) {
	var latencies, slowdowns []float64
	byAccount := make([][]float64, len(c.deployment.Accounts))
	for _, run := range c.measuredRuns() {
		r.Programs++
		if run.failed {
			r.Failed++
			continue
		}
		latency := run.latency()
		slowdown := float64(latency) / float64(run.idleLatency(c.deployment.Engine, c.overhead()))
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

// measuredRuns returns the measured programs, ordered by number. It sets the end of
// unfinished programs to the current time.
func (c *cluster) measuredRuns() []*programRun {
	runs := slices.Clone(c.collector.programs)
	for _, run := range c.runs {
		if run.root == run && c.isMeasured(run.program) {
			run.finishedAt = c.sim.now
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(a, b *programRun) int { return int(a.number) - int(b.number) })
	return runs
}

// overhead returns the minimum time of a call outside engines: from the client to the
// host, to the dispatcher and to the replica, and back.
func (c *cluster) overhead() time.Duration {
	return 2*c.deployment.ClientDelay + 4*c.deployment.HostDelay
}

// addAccounts computes each account's ratio of served to entitled work, and the worst
// values over accounts.
func (c *cluster) addAccounts(r *Result) {
	entitled := entitlements(c.deployment.Accounts, c.collector.offeredWork, c.collector.servedWork)
	r.LeastServed = math.Inf(1)
	for i := range r.Accounts {
		account := &r.Accounts[i]
		account.ServedOverEntitled = 1
		if entitled[i] > 0 {
			account.ServedOverEntitled = min(1, float64(c.collector.servedWork[i])/entitled[i])
		}
		if account.Programs == 0 || (c.scenario.paired && i == c.deployment.Noisy) {
			continue
		}
		r.WorstSlowdown = max(r.WorstSlowdown, account.SlowdownP95)
		r.LeastServed = min(r.LeastServed, account.ServedOverEntitled)
	}
}

// entitlements divides the served work among the accounts by weighted max-min
// fairness. No account is entitled to more than it offered.
func entitlements(accounts []Account, offered, served []time.Duration) []float64 {
	entitled := make([]float64, len(accounts))
	remaining := 0.0
	for _, s := range served {
		remaining += float64(s)
	}
	unsatisfied := make([]int, 0, len(accounts))
	for i := range accounts {
		unsatisfied = append(unsatisfied, i)
	}
	// Accounts with the least offered work relative to their weight are satisfied
	// first.
	slices.SortFunc(unsatisfied, func(a, b int) int {
		return int(float64(offered[a])/accounts[a].Weight - float64(offered[b])/accounts[b].Weight)
	})
	for position, i := range unsatisfied {
		weights := 0.0
		for _, j := range unsatisfied[position:] {
			weights += accounts[j].Weight
		}
		entitled[i] = min(float64(offered[i]), remaining*accounts[i].Weight/weights)
		remaining -= entitled[i]
	}
	return entitled
}

// utilization returns the fraction of the run in which replicas executed a batch.
func (c *cluster) utilization() float64 {
	total := time.Duration(0)
	for _, r := range c.engines {
		total += r.engine.busy
	}
	return ratio(float64(total), float64(c.sim.now)*float64(len(c.engines)))
}

// servedLoad returns the work served in the measurement window as a fraction of the
// pool's capacity.
func (c *cluster) servedLoad() float64 {
	total := time.Duration(0)
	for _, served := range c.collector.servedWork {
		total += served
	}
	return ratio(float64(total), float64(measurementEnd-warmUp)*float64(len(c.engines)))
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
