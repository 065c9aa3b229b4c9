package program_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
)

// TestCachedTokensAreNotAttainedService guards against ranking a long program behind
// others because of prompt tokens that the engine had in its cache.
func TestCachedTokensAreNotAttainedService(t *testing.T) {
	is := is.New(t)
	state := program.New(1, program.DefaultLimits)
	origin := structs.Origin{Host: "host-1", Incarnation: 1}
	inView := func(structs.Origin) bool { return true }
	clock := structs.OwnerClock{Owner: origin, Now: time.Unix(1_000_000, 0)}
	key := program.Key{Account: "clinic", Root: "p", Program: "p"}
	begin := func(call structs.CallID) program.BeginResult {
		outcome, err := state.DecideBegin(program.BeginRequest{Key: key, Call: call, Origin: origin, Depth: 1,
			Messages: []structs.Message{{Role: "user", Content: []byte(`"hello"`)}}}, inView, clock)
		is.NoErr(err)
		is.NoErr(state.Apply(outcome.Op))
		return outcome.Result
	}
	is.Equal(begin("c1").Attained, int64(0))
	op, err := state.DecideSettle(program.SettleRequest{Key: key, Call: "c1", Outcome: structs.OutcomeAnswered,
		Usage: structs.Usage{PromptTokens: 100, CompletionTokens: 20, TotalTokens: 120, CachedTokens: 90}}, clock)
	is.NoErr(err)
	is.NoErr(state.Apply(op))
	is.Equal(begin("c2").Attained, int64(30))
}
