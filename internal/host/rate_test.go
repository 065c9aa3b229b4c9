package host_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"testing"
	"time"
)

// Rate and burst of account workshop, as set in defaultPlans.
const (
	workshopRate  = 5.0
	workshopBurst = 10
)

// TestRateNeverExceeded guards against an account that gets more than its rate and burst
// across all hosts. The account sends three times its rate while hosts and the log fail.
func TestRateNeverExceeded(t *testing.T) {
	t.Parallel()
	const load = 14 * time.Second
	keepPair := amongNames("kill-owner", "cut-owner-from-peers", "cut-owner-from-all", "cut-domain")
	runChaos(t, siteConfig{}, singlesAndPairs(slices.Concat(hostFaults, logFaults), keepPair), func(c *chaos, faults []fault) {
		c.owner = c.indexOf(c.host(0).OwnerOfRateBucket("workshop"))
		c.entry = (c.owner + 1) % c.config.hosts
		// Restarting the owner makes its clock lag behind the clocks of the hosts that may
		// take over.
		time.Sleep(5 * time.Second)
		c.kill(c.owner)
		c.start(c.owner)
		c.awaitReady()
		stop := time.Now().Add(load)
		for i := range c.config.hosts {
			c.workers.Go(func() {
				for n := 0; time.Now().Before(stop); n++ {
					c.workers.Go(func() { c.try(i, "", c.pickupWithoutKey("workshop", fmt.Sprintf("%d/%d", i, n))) })
					time.Sleep(400 * time.Millisecond)
				}
			})
		}
		time.Sleep(2 * time.Second)
		c.inject(faults, 6*time.Second)
		c.workers.Wait()
		c.checkRate(workshopRate, workshopBurst)
		expected := workshopBurst
		if faults[0].name == "none" {
			// The last requests are sent 400 ms before the end. One token may be added after
			// them.
			expected = workshopBurst + int((load-400*time.Millisecond).Seconds()*workshopRate) - 1
		}
		if admitted := len(c.admitted()); admitted < expected {
			c.t.Errorf("%d requests were admitted in %s, want at least %d", admitted, load, expected)
		}
	})
}

// pickupWithoutKey returns a call of a non-idempotent route without an idempotency key.
func (s *site) pickupWithoutKey(account, body string) call {
	return call{method: "POST", path: "/apps/" + s.config.appPool + "/pickups", key: s.key(account), body: body}
}

// admitted returns the attempts that passed the rate limit, in the order of their
// answers.
func (c *chaos) admitted() []attempt {
	reached := c.receivedCalls()
	var found []attempt
	for _, a := range c.attemptsWith("") {
		if a.err == nil && reached[a.header.Get("X-Request-Id")] {
			found = append(found, a)
		}
	}
	return found
}

// checkRate counts the admissions in every time window. A request was admitted at some
// time between sending and answer, so a window counts only the requests that were both
// sent and answered in it.
func (c *chaos) checkRate(rate float64, burst int) {
	byEnd := c.admitted()
	sort.Slice(byEnd, func(i, j int) bool { return byEnd[i].answered.Before(byEnd[j].answered) })
	for _, first := range byEnd {
		count := 0
		for _, a := range byEnd {
			if a.sent.Before(first.sent) {
				continue
			}
			count++
			window := a.answered.Sub(first.sent)
			if allowed := float64(burst) + rate*window.Seconds(); float64(count) > allowed {
				c.t.Errorf("%d admissions in the %s from %s, want at most %.1f", count, window, first.sent.Format("04:05.000"), allowed)
				return
			}
		}
	}
}

// TestNothingWithinRateIsRefused guards against wrong refusals: without faults, requests
// that a single token bucket for all hosts would admit are never refused, no matter how
// they are distributed over the hosts. Only the larger burst lets hosts prefetch tokens.
func TestNothingWithinRateIsRefused(t *testing.T) {
	t.Parallel()
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			rate, burst := workshopRate, workshopBurst
			if seed%2 == 1 {
				rate, burst = 15, 80
			}
			limits := fmt.Sprintf("rate = %g\nburst = %d\n", rate, burst)
			plans := strings.Replace(defaultPlans, "rate = 5\nburst = 10\n", limits, 1)
			runSite(t, siteConfig{plans: plans, accounts: defaultAccounts}, func(s *site) {
				c := &chaos{site: s}
				random := rand.New(rand.NewPCG(seed, 1))
				level, last, end := float64(burst), time.Now(), time.Now().Add(40*time.Second)
				for n := 0; time.Now().Before(end); {
					time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second)))
					now := time.Now()
					level = min(float64(burst), level+rate*now.Sub(last).Seconds())
					last = now
					batch := random.IntN(int(level) + 1)
					if random.IntN(2) == 0 {
						batch = int(level)
					}
					for range batch {
						n++
						level--
						host := random.IntN(1 + 2*int(seed)%c.config.hosts)
						c.workers.Go(func() { c.try(host, "", c.pickupWithoutKey("workshop", fmt.Sprint(n))) })
					}
				}
				c.workers.Wait()
				for _, a := range c.attemptsWith("") {
					if a.status != 200 {
						t.Errorf("host %d at %s: %d %s", a.host, a.sent.Format("04:05.000"), a.status, a.body)
					}
				}
				c.checkRate(rate, burst)
			})
		})
	}
}
