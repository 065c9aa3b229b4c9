package program_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cowslipgw/internal/account"
	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
)

// randomRun drives a partition with random operations and tracks independently what may
// have happened.
type randomRun struct {
	*ownerHarness
	t       *rapid.T
	limits  program.Limits
	budget  structs.Budget
	running map[program.Key]program.BeginRequest
	calls   int
	// spent is an upper bound of the tokens that each root has used since it began.
	spent map[structs.ProgramID]int64
	held  map[uint64]structs.ReplicaID
	fence uint64
}

// TestRandomOperations guards against diverging replicas, exceeded budgets, two
// concurrent calls of a program, and engine memory that is never released.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := program.Limits{Retention: time.Minute, Idle: time.Minute, MaxClaims: 5, MaxAnswerBytes: 20}
		w := &randomRun{
			ownerHarness: newOwner(t.Fatalf, limits), t: t, limits: limits,
			budget:  structs.Budget{Tokens: 900, Calls: 12, Depth: 2},
			running: make(map[program.Key]program.BeginRequest),
			spent:   make(map[structs.ProgramID]int64),
			held:    make(map[uint64]structs.ReplicaID),
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			w.step()
			w.compare()
		}
		w.drain()
	})
}

// step executes one random operation.
func (w *randomRun) step() {
	w.elapsed += time.Duration(rapid.IntRange(0, 1500).Draw(w.t, "ms")) * time.Millisecond
	k := key(rapid.SampledFrom([]string{"r", "q"}).Draw(w.t, "root"), rapid.SampledFrom([]string{"r", "q", "s"}).Draw(w.t, "program"))
	host := origin(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(w.t, "host"), 1)
	switch rapid.IntRange(0, 10).Draw(w.t, "kind") {
	case 0, 1, 2:
		w.doBegin(k, host)
	case 3, 4, 5:
		w.doSettle(k)
	case 6:
		w.apply(w.state.DecideEnd(program.EndRequest{Key: k}, w.clock()))
	case 7:
		w.evicted[host] = !w.evicted[host]
		w.abandon()
		for running, req := range w.running {
			if w.evicted[req.Origin] {
				delete(w.running, running)
			}
		}
	case 8:
		w.elapsed += time.Duration(rapid.IntRange(0, 40).Draw(w.t, "idle")) * time.Second
		w.expire()
	case 9:
		w.failOver(w.limits)
	case 10:
		w.doClaim(host)
	}
	for _, root := range []structs.ProgramID{"r", "q"} {
		if w.state.Used(root) == 0 {
			delete(w.spent, root)
		}
		if used := w.state.Used(root); used > w.budget.Tokens {
			w.t.Fatalf("root %s used or reserved %d of %d tokens", root, used, w.budget.Tokens)
		}
	}
}

// doBegin begins a call and checks that no other call of the program is running.
func (w *randomRun) doBegin(k program.Key, host structs.Origin) {
	w.calls++
	req := program.BeginRequest{
		Key: k, Call: structs.CallID(fmt.Sprint("c", w.calls)), Origin: host, Depth: 1, Budget: w.budget,
		Messages:  []structs.Message{message("user", fmt.Sprint("m", w.calls))},
		MaxTokens: rapid.Int64Range(0, 200).Draw(w.t, "max"),
	}
	outcome := w.begin(req)
	if outcome.Busy || outcome.Result.Problem != nil {
		return
	}
	if other, running := w.running[k]; running {
		w.t.Fatalf("%s began while %s runs", req.Call, other.Call)
	}
	if outcome.Result.Fence <= w.fence {
		w.t.Fatalf("fence %d after %d", outcome.Result.Fence, w.fence)
	}
	w.fence = outcome.Result.Fence
	w.running[k] = req
	w.held[outcome.Result.Number] = ""
	w.spent[k.Root] += outcome.Result.PromptTokens + req.MaxTokens
}

// doSettle settles the running call with a usage of at most its reservation.
func (w *randomRun) doSettle(k program.Key) {
	req, ok := w.running[k]
	if !ok {
		return
	}
	delete(w.running, k)
	settle := program.SettleRequest{
		Key: k, Call: req.Call, Outcome: structs.Outcome(rapid.IntRange(1, 3).Draw(w.t, "outcome")),
		Answer:  message("assistant", "ok"),
		Usage:   structs.Usage{TotalTokens: rapid.IntRange(0, int(req.MaxTokens)).Draw(w.t, "used")},
		Replica: structs.ReplicaID(rapid.SampledFrom([]string{"e1", "e2"}).Draw(w.t, "replica")),
		End:     rapid.IntRange(0, 5).Draw(w.t, "end") == 0,
	}
	if err := w.settle(settle); err != nil {
		w.t.Fatalf("settle: %v", err)
	}
}

// doClaim opens and perhaps closes a claim, and requests rate tokens.
func (w *randomRun) doClaim(host structs.Origin) {
	w.calls++
	id := program.ClaimKey{Account: "yard", Key: rapid.SampledFrom([]string{"k1", "k2", "k3", "k4", "k5", "k6"}).Draw(w.t, "claim")}
	call := structs.CallID(fmt.Sprint("k", w.calls))
	result := w.open(program.OpenRequest{Claim: id, Call: call, Origin: host})
	if result.State == program.ClaimOpened && rapid.Bool().Draw(w.t, "close") {
		err := w.close(program.CloseRequest{Claim: id, Call: call, Outcome: structs.Outcome(rapid.IntRange(1, 3).Draw(w.t, "outcome")),
			Answer: &program.StoredAnswer{Status: 200, Body: make([]byte, rapid.IntRange(0, 25).Draw(w.t, "body"))}})
		if err != nil {
			w.t.Fatalf("close: %v", err)
		}
	}
	_, op, err := w.state.DecideGrant(account.GrantRequest{Account: "yard", Origin: host, Seq: uint64(w.calls),
		Need: 3, Spent: int64(w.calls % 3), Rate: 1, Burst: 9}, w.inView, w.clock())
	w.apply(op, err)
}

// drain ends everything and checks that only the releases of held memory remain.
func (w *randomRun) drain() {
	for _, host := range []string{"a", "b", "c"} {
		w.evicted[origin(host, 1)] = true
	}
	w.abandon()
	w.elapsed += w.limits.Idle + 2*w.limits.Retention
	for range 3 {
		w.expire()
	}
	for number := range w.held {
		if w.state.Live(number) {
			w.t.Fatalf("program %x still exists after all of its callers have gone", number)
		}
	}
	for _, release := range w.state.Releases() {
		w.apply(w.state.DecideReleased(release.Replica, release.Numbers))
	}
	if left := w.state.Size(); left != 0 {
		w.t.Fatalf("%d entries remain after the drain", left)
	}
	w.compare()
}

// FuzzApply guards against an operation or snapshot that stops a replica.
func FuzzApply(f *testing.F) {
	f.Add([]byte{0xa1, 0x01, 0xa0}, []byte{0xa0})
	f.Fuzz(func(t *testing.T, op, snapshot []byte) {
		s := program.New(1, program.DefaultLimits)
		_ = s.Apply(op)
		if s.Restore(snapshot) == nil {
			_ = s.Apply(op)
		}
		if _, err := s.Snapshot(); err != nil {
			t.Fatal(err)
		}
	})
}
