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

// attemptTimeout is how long a caller waits for one answer.
const attemptTimeout = 40 * time.Second

// chaos drives callers and faults against one site. Host entry is the one that callers
// use first, host owner owns the state that the scenario is about, and hosts entry and
// backup have copies of it.
type chaos struct {
	*site
	entry, owner, backup int

	mu       sync.Mutex
	attempts []attempt
	work     sync.WaitGroup
}

// attempt is one request of a caller with its answer.
type attempt struct {
	answer
	key            string
	host           int
	sent, answered time.Time
}

// try sends a call to a host, which may be dead, and records the answer.
func (c *chaos) try(host int, key string, call call) attempt {
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	made := attempt{key: key, host: host, sent: time.Now()}
	made.answer = c.sendTo(ctx, hostIP(host)+":80", call)
	made.answered = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, made)
	return made
}

// made returns the attempts with a key so far, in the order of their answers.
func (c *chaos) made(key string) []attempt {
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

// others returns the addresses of all hosts outside a set.
func (c *chaos) others(set ...int) []string {
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

// setCut cuts or restores links of a host in both directions.
func (c *chaos) setCut(cut bool, i int, ips ...string) {
	for _, ip := range ips {
		if cut {
			c.network.CutBoth(hostIP(i), ip)
		} else {
			c.network.Restore(hostIP(i), ip)
		}
	}
}

// fault is one kind of failure. set(true) begins it and set(false) ends it.
type fault struct {
	name string
	set  func(c *chaos, on bool)
}

// role picks a host of the scenario.
type role func(c *chaos) int

func entryRole(c *chaos) int { return c.entry }
func ownerRole(c *chaos) int { return c.owner }

func killed(name string, who role) fault {
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

func cutOff(name string, who role, fromLog, fromPeers bool) fault {
	return fault{"cut-" + name, func(c *chaos, on bool) {
		if fromLog {
			c.setCut(on, who(c), logIP)
		}
		if fromPeers {
			c.setCut(on, who(c), c.others(who(c))...)
		}
	}}
}

// cutDomain cuts the owner's failure domain from the other hosts.
func cutDomain(c *chaos, on bool) {
	var domain []int
	for i := range c.config.hosts {
		if i%len(c.config.domains) == c.owner%len(c.config.domains) {
			domain = append(domain, i)
		}
	}
	for _, i := range domain {
		c.setCut(on, i, c.others(domain...)...)
	}
}

// cutPair cuts the entry host and the owner from everything but the backup, so that they
// go on in an old view until the backup tells them of the new one.
func cutPair(c *chaos, on bool) {
	for _, i := range []int{c.entry, c.owner} {
		c.setCut(on, i, append(c.others(c.entry, c.owner, c.backup), logIP)...)
	}
}

// restarted stops a host as planned and starts it again, while the fault lasts.
func restarted(name string, who role) fault {
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

// hostFaults concern the hosts and their links, logFaults the log service, appFaults the
// upstreams.
var (
	hostFaults = []fault{
		killed("entry", entryRole),
		killed("owner", ownerRole),
		cutOff("entry-from-log", entryRole, true, false),
		cutOff("entry-from-peers", entryRole, false, true),
		cutOff("entry-from-all", entryRole, true, true),
		cutOff("owner-from-log", ownerRole, true, false),
		cutOff("owner-from-peers", ownerRole, false, true),
		cutOff("owner-from-all", ownerRole, true, true),
		{"cut-domain", cutDomain},
		{"cut-pair", cutPair},
		restarted("owner", ownerRole),
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

// moveFaults take the owner's state to another host, or try to.
var moveFaults = []fault{hostFaults[0], hostFaults[1], hostFaults[6], hostFaults[7], hostFaults[8], hostFaults[10]}

// everyPair runs every two faults together, which takes a few minutes of processor time.
var everyPair = flag.Bool("site.all", false, "run all pairs of faults")

// pairs returns each fault alone, and each two together of which keep wants the pair.
func pairs(faults []fault, keep func(a, b fault) bool) [][]fault {
	all := [][]fault{{{"none", func(*chaos, bool) {}}}}
	for i, first := range faults {
		all = append(all, []fault{first})
		for _, second := range faults[i+1:] {
			if *everyPair || keep(first, second) {
				all = append(all, []fault{first, second})
			}
		}
	}
	return all
}

// both wants the pairs of the named faults.
func both(names ...string) func(a, b fault) bool {
	return func(a, b fault) bool { return slices.Contains(names, a.name) && slices.Contains(names, b.name) }
}

// runChaos runs a scenario for each set of faults, some at the same time.
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

// inject begins the faults one after another, 600 ms apart, holds them, ends them and
// waits until all hosts serve.
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

// indexOf returns the index of a host.
func (c *chaos) indexOf(id structs.HostID) int {
	for i := range c.config.hosts {
		if hostID(i) == id {
			return i
		}
	}
	c.t.Fatalf("no host %q", id)
	return 0
}
