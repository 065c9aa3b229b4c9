package host_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/standin/engine"
	"cowslipgw/internal/structs"
)

// Budget of the plan in these tests, and what one of their calls generates. The cost is
// reserved with the prompt's estimate on top.
const (
	budgetTokens = 6000
	budgetCalls  = 12
	costlyAnswer = 500
)

// budgetPlans is defaultPlans with a small budget for every account.
func budgetPlans(tokens, calls int, wall string) string {
	plans := strings.NewReplacer("max_tokens = 270000", fmt.Sprintf("max_tokens = %d", tokens),
		"max_calls = 160", fmt.Sprintf("max_calls = %d", calls), "max_wall = 2h", "max_wall = "+wall)
	return plans.Replace(defaultPlans)
}

// family returns the calls of a root program and its sub-agents.
func (s *site) family(account, root, text string) []call {
	return []call{
		s.chat(account, root, text),
		s.chat(account, "planner", text).with("Cowslip-Parent", root),
		s.chat(account, "searcher", text).with("Cowslip-Parent", root+"/planner"),
	}
}

// spendAll lets the programs of a family call at the same time, each again as soon as
// it is answered or its call failed, until the budget refuses it.
func (s *site) spendAll(calls []call, tokens int) {
	var done sync.WaitGroup
	for i, c := range calls {
		done.Go(func() {
			for n := 0; n < 200; n++ {
				got := s.callOnce(addressOf((i+n)%s.config.hosts), c.streamed().tokens(tokens))
				if got.failure().Error.Code == "budget-exhausted" && got.failure().Run == structs.RunNo {
					return
				}
				if _, whole := got.whole(); !whole {
					time.Sleep(500 * time.Millisecond)
				}
			}
			s.t.Error("the program was never refused")
		})
	}
	done.Wait()
}

// spent returns the tokens and the calls that the engines saw, whether or not their
// answers arrived.
func (s *site) spent(log *engineLog) (tokens, calls int) {
	for _, e := range s.engines {
		tokens += int(e.Decoded())
	}
	seen := make(map[string]bool)
	for _, c := range log.all() {
		seen[c.id] = true
		tokens += len(strings.Join(c.messages, "")) / 4
	}
	return tokens, len(seen)
}

// TestTokensStayInBudget guards against a program that spends more tokens than its plan
// allows, together with its sub-agents, when answers break off or are not seen and the
// owner or the entry host dies.
func TestTokensStayInBudget(t *testing.T) {
	none := func(*site, *engineLog) {}
	faults := append(siteFaults(), siteFault{name: "none", begin: none, undo: none},
		siteFault{name: "owner killed", begin: func(s *site, _ *engineLog) { s.kill(s.replicasOf("clinic", "return-1")[0]) }, undo: none},
		siteFault{name: "every engine dies", begin: func(s *site, _ *engineLog) {
			for _, e := range s.engines {
				e.SetFaults(engine.Faults{DieAfterTokens: 450})
			}
		}, undo: none},
	)
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			log := &engineLog{}
			plans := budgetPlans(budgetTokens, 1000, "2h")
			runSite(t, siteConfig{plans: plans, accounts: defaultAccounts, wrap: log.wrap}, func(s *site) {
				is := is.New(s.t)
				go func() {
					time.Sleep(3 * time.Second)
					fault.begin(s, log)
					time.Sleep(10 * time.Second)
					fault.undo(s, log)
				}()
				s.spendAll(s.family("clinic", "return-1", "text"), costlyAnswer)
				tokens, _ := s.spent(log)
				is.True(tokens <= budgetTokens) // engines may not work for more than the plan
				if fault.name == "none" {
					is.True(tokens > budgetTokens/2) // the rest is less than the next call of each may cost
				}
				time.Sleep(30 * time.Second) // the end of the fault
			})
		})
	}
}

// TestCallsStayInBudget guards against a program that makes more calls than its plan
// allows, together with its sub-agents, also when its owner dies and engines fail.
func TestCallsStayInBudget(t *testing.T) {
	for _, kill := range []bool{false, true} {
		t.Run(fmt.Sprintf("owner killed: %v", kill), func(t *testing.T) {
			log := &engineLog{}
			plans := budgetPlans(270000, budgetCalls, "2h")
			runSite(t, siteConfig{plans: plans, accounts: defaultAccounts, wrap: log.wrap}, func(s *site) {
				is := is.New(s.t)
				if kill {
					go func() {
						time.Sleep(500 * time.Millisecond)
						s.kill(s.replicasOf("clinic", "return-1")[0])
					}()
				}
				s.spendAll(s.family("clinic", "return-1", "text"), 10)
				_, calls := s.spent(log)
				is.True(calls <= budgetCalls)
				if !kill {
					is.Equal(calls, budgetCalls)
				}
				// Another account's program of the same name has a budget of its own.
				is.Equal(s.callOnce(addressOf(1), s.chat("workshop", "return-1", "text")).status, 200)
			})
		})
	}
}

// TestWallTimeAndDepth guards against programs that outlive their wall time, in a call
// or with a sub-agent, or nest deeper than the plan allows.
func TestWallTimeAndDepth(t *testing.T) {
	slow := engine.Settings{StepBase: time.Second}
	plans := budgetPlans(270000, 1000, "1m")
	runSite(t, siteConfig{plans: plans, accounts: defaultAccounts, engine: slow}, func(s *site) {
		is := is.New(s.t)
		calls := s.family("clinic", "return-1", "text")
		deep := s.chat("clinic", "deepest", "text").with("Cowslip-Parent", "return-1/planner/searcher")
		got := s.send(0, deep)
		is.Equal(got.code(), "budget-exhausted") // depth 4 of 3
		is.Equal(got.run(), structs.RunNo)

		started := time.Now()
		got = s.send(1, calls[0].streamed().tokens(200))
		took := time.Since(started)
		is.True(took > 59*time.Second && took < 62*time.Second) // the call ends with the wall time
		is.Equal(got.failure().Error.Code, "budget-exhausted")
		is.Equal(got.failure().Run, structs.RunUnknown)
		got = s.send(2, calls[1])
		is.Equal(got.code(), "budget-exhausted") // the sub-agent shares the wall time
		is.Equal(got.run(), structs.RunNo)
	})
}

// TestVanishedCallersKeepTheBudget guards against tokens that come back when a caller
// goes away in the middle of an answer.
func TestVanishedCallersKeepTheBudget(t *testing.T) {
	log := &engineLog{}
	plans := budgetPlans(budgetTokens, 1000, "2h")
	runSite(t, siteConfig{plans: plans, accounts: defaultAccounts, wrap: log.wrap}, func(s *site) {
		is := is.New(s.t)
		c := s.chat("clinic", "return-1", "text").streamed().tokens(costlyAnswer)
		for n := range 40 {
			ctx, leave := contextFor(4 * time.Second)
			s.sendTo(ctx, addressOf(n%s.config.hosts), c)
			leave()
		}
		tokens, _ := s.spent(log)
		is.True(tokens <= budgetTokens)
		is.Equal(s.callOnce(addressOf(0), c).code(), "budget-exhausted")
	})
}
