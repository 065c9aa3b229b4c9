package program_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"cowslipgw/internal/account"
	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
)

// bytesPerToken is the length of English text per token, for the cost figures.
const bytesPerToken = 4

// addProgram creates a program with the given number of turns and about the given
// number of tokens of history.
func addProgram(b testing.TB, s *program.State, id string, turns, tokens int) {
	b.Helper()
	clock := structs.OwnerClock{Now: epoch}
	inView := func(structs.Origin) bool { return true }
	text := strings.Repeat("x", max(1, tokens*bytesPerToken/turns/2))
	for turn := range turns {
		call := structs.CallID(fmt.Sprint(id, "-", turn))
		outcome, err := s.DecideBegin(program.BeginRequest{Key: key(id, id), Call: call, Origin: origin("a", 1),
			Messages: []structs.Message{message("user", text)}}, inView, clock)
		if err != nil {
			b.Fatal(err)
		}
		if err := s.Apply(outcome.Op); err != nil {
			b.Fatal(err)
		}
		op, err := s.DecideSettle(program.SettleRequest{Key: key(id, id), Call: call, Outcome: structs.OutcomeAnswered,
			Answer: message("assistant", text), Usage: structs.Usage{TotalTokens: tokens}, Replica: "e1"}, clock)
		if err != nil {
			b.Fatal(err)
		}
		if err := s.Apply(op); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkProgramMemory reports the heap that one program occupies at a replica.
func BenchmarkProgramMemory(b *testing.B) {
	for _, size := range []struct{ turns, tokens int }{{1, 500}, {10, 5_000}, {40, 40_000}, {160, 270_000}} {
		b.Run(fmt.Sprintf("turns=%d/tokens=%d", size.turns, size.tokens), func(b *testing.B) {
			for range b.N {
				measureMemory(b, size.turns, size.tokens)
			}
		})
	}
}

// measureMemory reports the heap and the snapshot size of programs of one size.
func measureMemory(b *testing.B, turns, tokens int) {
	const programs = 50
	before := liveHeap()
	s := program.New(1, program.DefaultLimits)
	for i := range programs {
		addProgram(b, s, fmt.Sprint("p", i), turns, tokens)
	}
	b.ReportMetric((liveHeap()-before)/programs, "B/program")
	data, err := s.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(data))/programs, "snapshot-B/program")
}

// liveHeap returns the size of the live heap. The second collection frees the objects
// that the first one left in pools.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// BenchmarkCall measures deciding and applying one call: begin and settle with 500
// tokens in each direction.
func BenchmarkCall(b *testing.B) {
	o := newOwner(b.Fatalf, program.DefaultLimits)
	text := strings.Repeat("x", 500*bytesPerToken)
	size := 0
	for i := range b.N {
		k := key(fmt.Sprint(i%100), fmt.Sprint(i%100))
		call := structs.CallID(fmt.Sprint("c", i))
		begin, err := o.state.DecideBegin(program.BeginRequest{Key: k, Call: call, Origin: origin("a", 1),
			Messages: []structs.Message{message("user", text)}}, o.inView, o.clock())
		if err != nil || o.state.Apply(begin.Op) != nil {
			b.Fatal(err)
		}
		settle, err := o.state.DecideSettle(program.SettleRequest{Key: k, Call: call, Outcome: structs.OutcomeAnswered,
			Answer: message("assistant", text), Replica: "e1", End: i%10 == 0}, o.clock())
		if err != nil || o.state.Apply(settle) != nil {
			b.Fatal(err)
		}
		size += len(begin.Op) + len(settle)
	}
	b.ReportMetric(float64(size)/float64(b.N), "op-B/call")
}

// BenchmarkApply measures the cost of one claim at a backup: open and close with an
// answer of 2 KiB.
func BenchmarkApply(b *testing.B) {
	o := newOwner(b.Fatalf, program.DefaultLimits)
	claim := program.ClaimKey{Account: "yard", Key: "k"}
	_, open, err := o.state.DecideOpen(program.OpenRequest{Claim: claim, Call: "c", Origin: origin("a", 1)}, o.inView, o.clock())
	o.apply(open, err)
	closing, err := o.state.DecideClose(program.CloseRequest{Claim: claim, Call: "c", Outcome: structs.OutcomeAnswered,
		Answer: &program.StoredAnswer{Status: 200, Body: make([]byte, 2048)}}, o.clock())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(open)+len(closing)), "op-B/claim")
	for b.Loop() {
		if o.replica.Apply(open) != nil || o.replica.Apply(closing) != nil {
			b.Fatal("apply failed")
		}
	}
}

// BenchmarkGrant measures one grant at the owner with 12 hosts.
func BenchmarkGrant(b *testing.B) {
	o := newOwner(b.Fatalf, program.DefaultLimits)
	size := 0
	for i := range b.N {
		_, op, err := o.state.DecideGrant(account.GrantRequest{Account: "yard", Origin: origin(fmt.Sprint("h", i%12), 1),
			Seq: uint64(i + 1), Need: 1, Spent: 1, Rate: 1e6, Burst: 1000}, o.inView, o.clock())
		if err != nil || o.state.Apply(op) != nil {
			b.Fatal(err)
		}
		size += len(op)
	}
	b.ReportMetric(float64(size)/float64(b.N), "op-B/grant")
}
