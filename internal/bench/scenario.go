package bench

import "time"

// Scenario changes the workload or brings about faults.
type Scenario struct {
	Name string
	// total is the load of the pool as a share of its capacity.
	total float64
	// big is the loud account's load as a share of the pool's capacity; 0 for its share.
	big float64
	// extra is what the loud account sends beyond its load, as a multiple of it.
	extra float64
	// paired runs again without the loud account.
	paired    bool
	loops     int
	reportLag time.Duration
	faults    func(*cluster)
}

// noisyExtra makes an account send ten times its rate, which is rateMargin times
// what it sends in the steady scenario.
const noisyExtra = 10*rateMargin - 1

// scenarios returns the known scenarios.
func scenarios() []Scenario {
	return []Scenario{
		{Name: "steady", total: 0.85},
		{Name: "noisy-account", total: 0.85, extra: noisyExtra, paired: true},
		{Name: "big-yard", total: 0.85, big: 0.50, paired: true},
		{Name: "host-loss", total: 0.85, faults: func(c *cluster) {
			c.sim.at(1100*time.Second, func() { c.killHost(c.dispatcherHost) })
			c.sim.at(1400*time.Second, func() { c.killHost(c.owners[c.deployment.Loud]) })
		}},
		{Name: "replica-loss", total: 0.70, faults: func(c *cluster) {
			c.sim.at(1100*time.Second, func() { c.killReplica(2, 200*time.Second) })
		}},
		{Name: "rolling-restart", total: 0.85, faults: func(c *cluster) {
			for i := range c.hosts {
				c.sim.at(1000*time.Second+time.Duration(i)*60*time.Second, func() { c.restartHost(i, 40*time.Second) })
			}
		}},
		{Name: "log-outage", total: 0.85},
		{Name: "stale-load", total: 0.85, reportLag: 5 * time.Second},
		{Name: "loops", total: 0.75, loops: 24},
		{Name: "drain-replica", total: 0.70, faults: func(c *cluster) {
			c.sim.at(1100*time.Second, func() { c.drainReplica(2, 200*time.Second) })
		}},
	}
}

// lag is how late load reports are.
func (s Scenario) lag() time.Duration {
	return max(reportLag, s.reportLag)
}

// shape is the scenario's workload for a deployment.
func (s Scenario) shape(d Deployment) workloadShape {
	return workloadShape{
		loops: s.loops,
		load: func(account int) float64 {
			share := d.Accounts[account].Share
			if s.big == 0 {
				return s.total * share
			}
			if account == d.Loud {
				return s.big
			}
			return (s.total - s.big) * share / (1 - d.Accounts[d.Loud].Share)
		},
		extra: func(account int) float64 {
			if account == d.Loud {
				return s.extra
			}
			return 0
		},
	}
}
