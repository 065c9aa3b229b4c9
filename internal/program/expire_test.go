package program_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
)

// TestQuietProgramKeepsHistory guards against losing the history of a program together
// with its engine memory when it pauses for long.
func TestQuietProgramKeepsHistory(t *testing.T) {
	is := is.New(t)
	limits := program.DefaultLimits
	limits.MemoryHold, limits.Idle = 10*time.Minute, 72*time.Hour
	state := program.New(1, limits)
	origin := structs.Origin{Host: "host-1", Incarnation: 1}
	inView := func(structs.Origin) bool { return true }
	start := time.Unix(1_000_000, 0)
	clock := func(after time.Duration) structs.OwnerClock {
		return structs.OwnerClock{Owner: origin, Now: start.Add(after), Monotonic: after}
	}
	apply := func(op []byte, err error) {
		t.Helper()
		is.NoErr(err)
		is.True(op != nil)
		is.NoErr(state.Apply(op))
	}
	key := program.Key{Account: "clinic", Root: "p", Program: "p"}
	message := structs.Message{Role: "user", Content: []byte(`"hello"`)}
	begin, err := state.DecideBegin(program.BeginRequest{Key: key, Call: "c1", Origin: origin, Depth: 1,
		Messages: []structs.Message{message}}, inView, clock(0))
	apply(begin.Op, err)
	apply(state.DecideSettle(program.SettleRequest{Key: key, Call: "c1", Outcome: structs.OutcomeAnswered,
		Answer: structs.Message{Role: "assistant", Content: []byte(`"hi"`)}, Replica: "llm-1"}, clock(0)))

	apply(state.DecideExpire(inView, clock(11*time.Minute)))
	releases := state.Releases()
	is.Equal(len(releases), 1)
	is.Equal(releases[0].Replica, structs.ReplicaID("llm-1"))
	next, err := state.DecideBegin(program.BeginRequest{Key: key, Call: "c2", Origin: origin, Depth: 1,
		Messages: []structs.Message{message}}, inView, clock(71*time.Hour))
	is.NoErr(err)
	is.Equal(len(next.Result.History), 3)

	apply(state.DecideExpire(inView, clock(73*time.Hour)))
	programs, _ := state.Counts()
	is.Equal(programs, 0)
}
