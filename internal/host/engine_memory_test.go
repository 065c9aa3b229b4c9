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
	// releaseBound is how long after its cause the owner may take to release memory: an
	// order each second and the change of the owner, or the whole time for orphans
	// (docs/design.md, section 5.4).
	releaseBound = 10 * time.Second
	orphanBound  = 60 * time.Second
	// expireCheck is how often idle programs are looked for.
	expireCheck = 10 * time.Second
	// viewChange is how long the fleet takes to notice and replace a dead host.
	viewChange = 6 * time.Second
	idleTime   = 2 * time.Minute
)

// held counts the programs in the memory of all engines.
func (s *site) held() int {
	total := 0
	for _, e := range s.engines {
		total += len(e.Load().Programs)
	}
	return total
}

// TestEngineMemoryIsReleased guards against engine memory that stays with a program
// that ended, expired, exhausted its budget or lost its caller, also when the owner, all
// replicas of its partition or the engine's answers go in between.
func TestEngineMemoryIsReleased(t *testing.T) {
	gone := map[string]struct {
		cause func(s *site, c call)
		wait  time.Duration
	}{
		"ended":     {func(s *site, c call) { s.send(5, c.with("Cowslip-Program-End", "true")) }, releaseBound},
		"idle":      {func(*site, call) {}, idleTime + expireCheck + releaseBound},
		"exhausted": {func(s *site, c call) { s.send(5, c.tokens(budgetTokens)) }, releaseBound},
		"caller vanished": {func(s *site, c call) {
			ctx, leave := contextFor(2 * time.Second)
			defer leave()
			s.sendTo(ctx, addressOf(5), c.streamed().tokens(3000))
		}, idleTime + expireCheck + releaseBound},
	}
	faults := map[string]struct {
		fault func(s *site, replicas []int)
		more  time.Duration
	}{
		"no fault":     {func(*site, []int) {}, 0},
		"owner killed": {func(s *site, replicas []int) { s.kill(replicas[0]) }, viewChange},
		// Nobody owns the memory then but by the engines' reports.
		"all copies lost": {func(s *site, replicas []int) {
			for _, i := range replicas {
				s.kill(i)
			}
		}, viewChange + orphanBound},
		"engines refuse for 5 s": {func(s *site, _ []int) {
			for i := range s.config.engines {
				for j := range s.config.hosts {
					s.network.CutBoth(ipOf(j), fmt.Sprintf("10.2.0.%d", i+1))
					time.AfterFunc(5*time.Second, func() { s.network.Restore(ipOf(j), fmt.Sprintf("10.2.0.%d", i+1)) })
				}
			}
		}, releaseBound},
	}
	for end, gone := range gone {
		for name, fault := range faults {
			t.Run(end+", "+name, func(t *testing.T) {
				t.Parallel()
				config := siteConfig{
					hosts: 9, plans: budgetPlans(budgetTokens, 100, "2h"), accounts: defaultAccounts,
					engine: engine.Settings{LoadLag: time.Second},
					change: func(h *settings.Host) { h.Limits.ProgramIdle = idleTime },
				}
				runSite(t, config, func(s *site) {
					is := is.New(s.t)
					id := s.programAwayFrom(5)
					c := s.chat("clinic", id, "text")
					is.Equal(s.send(5, c).status, 200)
					is.Equal(s.held(), 1)
					replicas := s.replicasOf("clinic", id)
					gone.cause(s, c)
					fault.fault(s, replicas)
					s.await(gone.wait+fault.more, "the release", func() bool { return s.held() == 0 })
				})
			})
		}
	}
}

// programAwayFrom returns a program that a host does not hold.
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

// TestLiveProgramKeepsMemory guards against a release of memory that a live program
// still uses, when its owner changes again and again.
func TestLiveProgramKeepsMemory(t *testing.T) {
	runSite(t, siteConfig{}, func(s *site) {
		is := is.New(s.t)
		is.Equal(s.send(0, s.chat("clinic", "return-1", "text")).status, 200)
		for range 3 {
			dies := s.replicasOf("clinic", "return-1")[0]
			s.kill(dies)
			time.Sleep(orphanBound)
			is.Equal(s.held(), 1)
			s.start(dies)
			s.awaitReady()
		}
		time.Sleep(orphanBound)
		is.Equal(s.held(), 1)
	})
}
