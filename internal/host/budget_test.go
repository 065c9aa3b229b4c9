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

// Budget of the plan in these tests, and the number of tokens that one of their calls
// generates. A call reserves these tokens plus the estimated tokens of its prompt.
const (
	budgetTokens = 6000
	budgetCalls  = 12
	answerTokens = 500
)

// budgetPlans returns defaultPlans with the given budget in plan large.
func budgetPlans(tokens, calls int, wall string) string {
	plans := strings.NewReplacer("max_tokens = 270000", fmt.Sprintf("max_tokens = %d", tokens),
		"max_calls = 160", fmt.Sprintf("max_calls = %d", calls), "max_wall = 2h", "max_wall = "+wall)
	return plans.Replace(defaultPlans)
}

// programTree returns one call each of a root program, a sub-agent and its sub-agent.
func (s *site) programTree(account, root, text string) []call {
	return []call{
		s.chat(account, root, text),
		s.chat(account, "planner", text).with("Cowslip-Parent", root),
		s.chat(account, "searcher", text).with("Cowslip-Parent", root+"/planner"),
	}
}

// exhaustBudget sends the calls of a program tree concurrently. It repeats each call as
// soon as it was answered or has failed, until it is refused because the budget is
// exhausted.
func (s *site) exhaustBudget(calls []call, tokens int) {
	var done sync.WaitGroup
	for i, c := range calls {
		done.Go(func() {
			for n := 0; n < 200; n++ {
				got := s.callOnce(addressOf((i+n)%s.config.hosts), c.streamed().withMinTokens(tokens))
				if got.failure().Error.Code == "budget-exhausted" && got.failure().Run == structs.RunNo {
					return
				}
				if _, complete := got.complete(); !complete {
					time.Sleep(500 * time.Millisecond)
				}
			}
			s.t.Error("the program was never refused")
		})
	}
	done.Wait()
}

// spent returns the number of tokens and calls that the engines processed, whether or not
// their answers arrived.
func (s *site) spent(log *engineLog) (tokens, calls int) {
	for _, e := range s.engines {
		tokens += int(e.DecodedTokens())
	}
	seen := make(map[string]bool)
	for _, c := range log.requests() {
		seen[c.id] = true
		tokens += len(strings.Join(c.messages, "")) / 4
	}
	return tokens, len(seen)
}

// TestTokensStayInBudget guards against a program that together with its sub-agents
// spends more tokens than its plan allows, when answers break off or are lost and the
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
			runSite(t, siteConfig{plans: plans, accounts: defaultAccounts, wrapReplica: log.wrap}, func(s *site) {
				is := is.New(s.t)
				go func() {
					time.Sleep(3 * time.Second)
					fault.begin(s, log)
					time.Sleep(10 * time.Second)
					fault.undo(s, log)
				}()
				s.exhaustBudget(s.programTree("clinic", "return-1", "text"), answerTokens)
				tokens, _ := s.spent(log)
				is.True(tokens <= budgetTokens) // engines must not process more tokens than the plan allows
				if fault.name == "none" {
					is.True(tokens > budgetTokens/2) // the rest is less than the next call of each program may cost
				}
				time.Sleep(30 * time.Second) // the end of the fault
			})
		})
	}
}

// TestCallsStayInBudget guards against a program that together with its sub-agents makes
// more calls than its plan allows, also when its owner dies.
func TestCallsStayInBudget(t *testing.T) {
	for _, kill := range []bool{false, true} {
		t.Run(fmt.Sprintf("owner killed: %v", kill), func(t *testing.T) {
			log := &engineLog{}
			plans := budgetPlans(270000, budgetCalls, "2h")
			runSite(t, siteConfig{plans: plans, accounts: defaultAccounts, wrapReplica: log.wrap}, func(s *site) {
				is := is.New(s.t)
				if kill {
					go func() {
						time.Sleep(500 * time.Millisecond)
						s.kill(s.replicasOf("clinic", "return-1")[0])
					}()
				}
				s.exhaustBudget(s.programTree("clinic", "return-1", "text"), 10)
				_, calls := s.spent(log)
				is.True(calls <= budgetCalls)
				if !kill {
					is.Equal(calls, budgetCalls)
				}
				// A program with the same ID in another account has a separate budget.
				is.Equal(s.callOnce(addressOf(1), s.chat("workshop", "return-1", "text")).status, 200)
			})
		})
	}
}

// TestWallTimeAndDepth guards against programs that exceed their wall time, during a call
// or with a sub-agent, and against sub-agents that nest deeper than the plan allows.
func TestWallTimeAndDepth(t *testing.T) {
	slow := engine.Settings{StepBase: time.Second}
	plans := budgetPlans(270000, 1000, "1m")
	runSite(t, siteConfig{plans: plans, accounts: defaultAccounts, engine: slow}, func(s *site) {
		is := is.New(s.t)
		calls := s.programTree("clinic", "return-1", "text")
		deep := s.chat("clinic", "deepest", "text").with("Cowslip-Parent", "return-1/planner/searcher")
		got := s.send(0, deep)
		is.Equal(got.code(), "budget-exhausted") // depth 4 of 3
		is.Equal(got.run(), structs.RunNo)

		started := time.Now()
		got = s.send(1, calls[0].streamed().withMinTokens(200))
		took := time.Since(started)
		is.True(took > 59*time.Second && took < 62*time.Second) // the call ends with the wall time
		is.Equal(got.failure().Error.Code, "budget-exhausted")
		is.Equal(got.failure().Run, structs.RunUnknown)
		got = s.send(2, calls[1])
		is.Equal(got.code(), "budget-exhausted") // the sub-agent shares the wall time
		is.Equal(got.run(), structs.RunNo)
	})
}

// TestVanishedCallersKeepTheBudget guards against tokens that are credited back to the
// budget when a caller disconnects in the middle of an answer.
func TestVanishedCallersKeepTheBudget(t *testing.T) {
	log := &engineLog{}
	plans := budgetPlans(budgetTokens, 1000, "2h")
	runSite(t, siteConfig{plans: plans, accounts: defaultAccounts, wrapReplica: log.wrap}, func(s *site) {
		is := is.New(s.t)
		c := s.chat("clinic", "return-1", "text").streamed().withMinTokens(answerTokens)
		for n := range 40 {
			ctx, leave := contextWithTimeout(4 * time.Second)
			s.sendTo(ctx, addressOf(n%s.config.hosts), c)
			leave()
		}
		tokens, _ := s.spent(log)
		is.True(tokens <= budgetTokens)
		is.Equal(s.callOnce(addressOf(0), c).code(), "budget-exhausted")
	})
}
