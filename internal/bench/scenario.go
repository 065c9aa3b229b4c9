package bench

import "time"

// Scenario modifies the steady workload or injects faults.
type Scenario struct {
	Name string
	// load is the offered load as a fraction of the pool's capacity.
	load float64
	// noisyLoad is the noisy account's load as a fraction of the pool's capacity; 0
	// selects the account's regular share.
	noisyLoad float64
	// excess is the additional load of the noisy account, as a multiple of its
	// regular load.
	excess float64
	// paired requests a second run without the noisy account for comparison.
	paired    bool
	loopCount int
	reportLag time.Duration
	faults    func(*cluster)
}

// noisyExcess makes an account send ten times its rate limit. The limit is rateMargin
// times the account's request rate in the steady scenario.
const noisyExcess = 10*rateMargin - 1

// scenarios returns all scenarios.
func scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", load: 0.85},
		{Name: "noisy-account", load: 0.85, excess: noisyExcess, paired: true},
		{Name: "big-yard", load: 0.85, noisyLoad: 0.50, paired: true},
		{Name: "host-loss", load: 0.85, faults: func(c *cluster) {
			c.sim.at(1100*time.Second, func() { c.killHost(c.dispatcherHost) })
			c.sim.at(1400*time.Second, func() { c.killHost(c.owners[c.deployment.Noisy]) })
		}},
		{Name: "replica-loss", load: 0.70, faults: func(c *cluster) {
			c.sim.at(1100*time.Second, func() { c.killReplica(2, 200*time.Second) })
		}},
		{Name: "rolling-restart", load: 0.85, faults: func(c *cluster) {
			for i := range c.hosts {
				c.sim.at(1000*time.Second+time.Duration(i)*60*time.Second, func() { c.restartHost(i, 40*time.Second) })
			}
		}},
		{Name: "log-outage", load: 0.85},
		{Name: "stale-load", load: 0.85, reportLag: 5 * time.Second},
		{Name: "loops", load: 0.75, loopCount: 24},
		{Name: "drain-replica", load: 0.70, faults: func(c *cluster) {
			c.sim.at(1100*time.Second, func() { c.drainReplica(2, 200*time.Second) })
		}},
	}
}

// loadReportLag returns the delivery delay of load reports.
func (s Scenario) loadReportLag() time.Duration {
	return max(reportLag, s.reportLag)
}

// workloadShape returns the parameters of the scenario's workload on a deployment.
func (s Scenario) workloadShape(d Deployment) workloadShape {
	return workloadShape{
		loopCount: s.loopCount,
		load: func(account int) float64 {
			share := d.Accounts[account].Share
			if s.noisyLoad == 0 {
				return s.load * share
			}
			if account == d.Noisy {
				return s.noisyLoad
			}
			return (s.load - s.noisyLoad) * share / (1 - d.Accounts[d.Noisy].Share)
		},
		excess: func(account int) float64 {
			if account == d.Noisy {
				return s.excess
			}
			return 0
		},
	}
}
