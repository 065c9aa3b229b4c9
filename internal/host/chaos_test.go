package host_test

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"cowslipgw/internal/standin/app"
	"cowslipgw/internal/structs"
)

// attemptTimeout is how long a caller waits for the answer to one attempt.
const attemptTimeout = 40 * time.Second

// chaos runs callers and injects faults against one site. The host entry is the one that
// callers use first. The host owner owns the state under test, and the hosts entry and
// backup hold copies of it.
type chaos struct {
	*site
	entry, owner, backup int

	mu       sync.Mutex
	attempts []attempt
	workers  sync.WaitGroup
}

// attempt is one request of a caller and its answer.
type attempt struct {
	answer
	key            string
	host           int
	sent, answered time.Time
}

// try sends a call to a host, which may be down, and records the attempt.
func (c *chaos) try(host int, key string, call call) attempt {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	a := attempt{key: key, host: host, sent: time.Now()}
	a.answer = c.sendTo(ctx, hostIP(host)+":80", call)
	a.answered = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
	return a
}

// attemptsWith returns the attempts made so far with an idempotency key, in the order of
// their answers.
func (c *chaos) attemptsWith(key string) []attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []attempt
	for _, a := range c.attempts {
		if a.key == key {
			found = append(found, a)
		}
	}
	return found
}

// ipsOutside returns the IP addresses of all hosts outside a set.
func (c *chaos) ipsOutside(set ...int) []string {
	var ips []string
	for i := range c.config.hosts {
		inside := false
		for _, member := range set {
			inside = inside || i == member
		}
		if !inside {
			ips = append(ips, hostIP(i))
		}
	}
	return ips
}

// setCut cuts or restores the links between a host and other addresses in both
// directions.
func (c *chaos) setCut(cut bool, i int, ips ...string) {
	for _, ip := range ips {
		if cut {
			c.network.CutBoth(hostIP(i), ip)
		} else {
			c.network.Restore(hostIP(i), ip)
		}
	}
}

// fault is one kind of failure. set injects it if on is true and ends it otherwise.
type fault struct {
	name string
	set  func(c *chaos, on bool)
}

// role selects a host of the scenario.
type role func(c *chaos) int

func entryRole(c *chaos) int { return c.entry }
func ownerRole(c *chaos) int { return c.owner }

func killFault(name string, who role) fault {
	return fault{"kill-" + name, func(c *chaos, on bool) {
		alive := c.host(who(c)) != nil
		switch {
		case on && alive:
			c.kill(who(c))
		case !on && !alive:
			c.start(who(c))
		}
	}}
}

func cutFault(name string, who role, fromLog, fromPeers bool) fault {
	return fault{"cut-" + name, func(c *chaos, on bool) {
		if fromLog {
			c.setCut(on, who(c), logIP)
		}
		if fromPeers {
			c.setCut(on, who(c), c.ipsOutside(who(c))...)
		}
	}}
}

// cutDomain cuts the links between the owner's failure domain and all other hosts.
func cutDomain(c *chaos, on bool) {
	var domain []int
	for i := range c.config.hosts {
		if i%len(c.config.domains) == c.owner%len(c.config.domains) {
			domain = append(domain, i)
		}
	}
	for _, i := range domain {
		c.setCut(on, i, c.ipsOutside(domain...)...)
	}
}

// cutPair cuts the entry host and the owner from everything except the backup, so that
// they continue in an old view until the backup tells them about the new one.
func cutPair(c *chaos, on bool) {
	for _, i := range []int{c.entry, c.owner} {
		c.setCut(on, i, append(c.ipsOutside(c.entry, c.owner, c.backup), logIP)...)
	}
}

// restartFault returns a fault that stops a host gracefully and starts it again at once,
// while the other faults last.
func restartFault(name string, who role) fault {
	return fault{"restart-" + name, func(c *chaos, on bool) {
		if on && c.host(who(c)) != nil {
			c.stop(who(c))
		}
		if c.host(who(c)) == nil {
			c.start(who(c))
		}
	}}
}

func logFault(name string, change func(c *chaos, on bool)) fault {
	return fault{"log-" + name, change}
}

func appFault(name string, faults app.Faults) fault {
	return fault{"app-" + name, func(c *chaos, on bool) {
		for _, service := range c.apps {
			if on {
				service.SetFaults(faults)
			} else {
				service.SetFaults(app.Faults{})
			}
		}
	}}
}

// hostFaults are faults of the hosts and their links, logFaults are faults of the log
// service, and appFaults are faults of the app services.
var (
	hostFaults = []fault{
		killFault("entry", entryRole),
		killFault("owner", ownerRole),
		cutFault("entry-from-log", entryRole, true, false),
		cutFault("entry-from-peers", entryRole, false, true),
		cutFault("entry-from-all", entryRole, true, true),
		cutFault("owner-from-log", ownerRole, true, false),
		cutFault("owner-from-peers", ownerRole, false, true),
		cutFault("owner-from-all", ownerRole, true, true),
		{"cut-domain", cutDomain},
		{"cut-pair", cutPair},
		restartFault("owner", ownerRole),
	}
	logFaults = []fault{
		logFault("down", func(c *chaos, on bool) {
			faults := c.log.Faults()
			faults.Down = on
			c.log.SetFaults(faults)
		}),
		logFault("slow", func(c *chaos, on bool) {
			faults := c.log.Faults()
			faults.DelayMillis = map[bool]int{true: 1500}[on]
			c.log.SetFaults(faults)
		}),
		logFault("loses-answers", func(c *chaos, on bool) {
			faults := c.log.Faults()
			faults.LoseAnswers = map[bool]int{true: 100}[on]
			c.log.SetFaults(faults)
		}),
	}
	appFaults = []fault{
		appFault("dies-in-answer", app.Faults{DropAfterRun: true, Times: 2}),
		appFault("hangs", app.Faults{HangBeforeRun: true, Times: 2}),
		appFault("late", app.Faults{SlowMillis: 6000, Times: 3}),
		{"app-cut", func(c *chaos, on bool) {
			for i := range c.config.hosts {
				c.setCut(on, i, "10.3.0.1")
			}
		}},
	}
)

// allFaultPairs enables all pairs of faults, which take a few minutes of processor time.
var allFaultPairs = flag.Bool("site.all", false, "run all pairs of faults")

// singlesAndPairs returns no fault, each fault alone, and each pair of faults that keep
// accepts. With allFaultPairs it returns every pair.
func singlesAndPairs(faults []fault, keep func(a, b fault) bool) [][]fault {
	all := [][]fault{{{"none", func(*chaos, bool) {}}}}
	for i, first := range faults {
		all = append(all, []fault{first})
		for _, second := range faults[i+1:] {
			if *allFaultPairs || keep(first, second) {
				all = append(all, []fault{first, second})
			}
		}
	}
	return all
}

// amongNames returns a filter that accepts pairs in which both faults are named.
func amongNames(names ...string) func(a, b fault) bool {
	return func(a, b fault) bool { return slices.Contains(names, a.name) && slices.Contains(names, b.name) }
}

// runChaos runs a scenario as a parallel subtest for each set of faults.
func runChaos(t *testing.T, config siteConfig, sets [][]fault, scenario func(c *chaos, faults []fault)) {
	for _, set := range sets {
		name := set[0].name
		for _, f := range set[1:] {
			name += "+" + f.name
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runSite(t, config, func(s *site) { scenario(&chaos{site: s}, set) })
		})
	}
}

// inject starts the faults one after another, 600 ms apart, keeps them for the hold time,
// ends them and waits until all hosts are ready.
func (c *chaos) inject(faults []fault, hold time.Duration) {
	for _, f := range faults {
		f.set(c, true)
		time.Sleep(600 * time.Millisecond)
	}
	time.Sleep(hold)
	for _, f := range faults {
		f.set(c, false)
	}
	c.awaitReady()
}

func hostIP(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) }

// indexOf returns the index of the host with an ID.
func (c *chaos) indexOf(id structs.HostID) int {
	for i := range c.config.hosts {
		if hostID(i) == id {
			return i
		}
	}
	c.t.Fatalf("no host %q", id)
	return 0
}
