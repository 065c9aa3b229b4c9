package host_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/settings"
	"cowslipgw/internal/standin/engine"
)

const (
	// releaseBound is how long the owner may take to release memory after the cause. It
	// covers one order per second and a change of the owner. orphanBound is the whole
	// time allowed for orphaned memory (docs/design.md, section 5.4).
	releaseBound = 10 * time.Second
	orphanBound  = 60 * time.Second
	// expiryCheckInterval is how often the owner checks for idle programs.
	expiryCheckInterval = 10 * time.Second
	// failoverTime is how long the fleet takes to detect and replace a dead host.
	failoverTime    = 6 * time.Second
	programIdleTime = 2 * time.Minute
)

// programsInMemory counts the programs in the memory of all engines.
func (s *site) programsInMemory() int {
	total := 0
	for _, e := range s.engines {
		total += len(e.Load().Programs)
	}
	return total
}

// TestEngineMemoryIsReleased guards against engine memory that stays allocated to a
// program that ended, expired, exhausted its budget or lost its caller. The release must
// also happen when the owner or all replicas of the partition die, or when the engines
// are unreachable for a time.
func TestEngineMemoryIsReleased(t *testing.T) {
	endings := map[string]struct {
		cause func(s *site, c call)
		wait  time.Duration
	}{
		"ended":     {func(s *site, c call) { s.send(5, c.with("Cowslip-Program-End", "true")) }, releaseBound},
		"idle":      {func(*site, call) {}, programIdleTime + expiryCheckInterval + releaseBound},
		"exhausted": {func(s *site, c call) { s.send(5, c.withMinTokens(budgetTokens)) }, releaseBound},
		"caller vanished": {func(s *site, c call) {
			ctx, leave := contextWithTimeout(2 * time.Second)
			defer leave()
			s.sendTo(ctx, addressOf(5), c.streamed().withMinTokens(3000))
		}, programIdleTime + expiryCheckInterval + releaseBound},
	}
	faults := map[string]struct {
		fault func(s *site, replicas []int)
		extra time.Duration
	}{
		"no fault":     {func(*site, []int) {}, 0},
		"owner killed": {func(s *site, replicas []int) { s.kill(replicas[0]) }, failoverTime},
		// The memory is then orphaned and is known only from the engines' load reports.
		"all copies lost": {func(s *site, replicas []int) {
			for _, i := range replicas {
				s.kill(i)
			}
		}, failoverTime + orphanBound},
		"engines refuse for 5 s": {func(s *site, _ []int) {
			for i := range s.config.engines {
				for j := range s.config.hosts {
					s.network.CutBoth(ipOf(j), fmt.Sprintf("10.2.0.%d", i+1))
					time.AfterFunc(5*time.Second, func() { s.network.Restore(ipOf(j), fmt.Sprintf("10.2.0.%d", i+1)) })
				}
			}
		}, releaseBound},
	}
	for endingName, ending := range endings {
		for name, fault := range faults {
			t.Run(endingName+", "+name, func(t *testing.T) {
				t.Parallel()
				config := siteConfig{
					hosts: 9, plans: budgetPlans(budgetTokens, 100, "2h"), accounts: defaultAccounts,
					engine:         engine.Settings{LoadLag: time.Second},
					changeSettings: func(h *settings.Host) { h.Limits.ProgramIdle = programIdleTime },
				}
				runSite(t, config, func(s *site) {
					is := is.New(s.t)
					id := s.programAwayFrom(5)
					c := s.chat("clinic", id, "text")
					is.Equal(s.send(5, c).status, 200)
					is.Equal(s.programsInMemory(), 1)
					replicas := s.replicasOf("clinic", id)
					ending.cause(s, c)
					fault.fault(s, replicas)
					s.await(ending.wait+fault.extra, "the release", func() bool { return s.programsInMemory() == 0 })
				})
			})
		}
	}
}

// programAwayFrom returns the ID of a program of which the given host holds no copy.
func (s *site) programAwayFrom(host int) string {
	for n := 0; ; n++ {
		id := fmt.Sprintf("away-%d", n)
		held := false
		for _, i := range s.replicasOf("clinic", id) {
			held = held || i == host
		}
		if !held {
			return id
		}
	}
}

// TestLiveProgramKeepsMemory guards against the release of memory that a live program
// still uses when its owner changes repeatedly.
func TestLiveProgramKeepsMemory(t *testing.T) {
	runSite(t, siteConfig{}, func(s *site) {
		is := is.New(s.t)
		is.Equal(s.send(0, s.chat("clinic", "return-1", "text")).status, 200)
		for range 3 {
			victim := s.replicasOf("clinic", "return-1")[0]
			s.kill(victim)
			time.Sleep(orphanBound)
			is.Equal(s.programsInMemory(), 1)
			s.start(victim)
			s.awaitReady()
		}
		time.Sleep(orphanBound)
		is.Equal(s.programsInMemory(), 1)
	})
}
