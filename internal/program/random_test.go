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
		r := &randomRun{
			ownerHarness: newOwner(t.Fatalf, limits), t: t, limits: limits,
			budget:  structs.Budget{Tokens: 900, Calls: 12, Depth: 2},
			running: make(map[program.Key]program.BeginRequest),
			spent:   make(map[structs.ProgramID]int64),
			held:    make(map[uint64]structs.ReplicaID),
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			r.step()
			r.compare()
		}
		r.drain()
	})
}

// step executes one random operation.
func (r *randomRun) step() {
	r.elapsed += time.Duration(rapid.IntRange(0, 1500).Draw(r.t, "ms")) * time.Millisecond
	k := key(rapid.SampledFrom([]string{"r", "q"}).Draw(r.t, "root"), rapid.SampledFrom([]string{"r", "q", "s"}).Draw(r.t, "program"))
	host := origin(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r.t, "host"), 1)
	switch rapid.IntRange(0, 10).Draw(r.t, "kind") {
	case 0, 1, 2:
		r.doBegin(k, host)
	case 3, 4, 5:
		r.doSettle(k)
	case 6:
		r.apply(r.state.DecideEnd(program.EndRequest{Key: k}, r.clock()))
	case 7:
		r.evicted[host] = !r.evicted[host]
		r.abandon()
		for running, req := range r.running {
			if r.evicted[req.Origin] {
				delete(r.running, running)
			}
		}
	case 8:
		r.elapsed += time.Duration(rapid.IntRange(0, 40).Draw(r.t, "idle")) * time.Second
		r.expire()
	case 9:
		r.failOver(r.limits)
	case 10:
		r.doClaim(host)
	}
	for _, root := range []structs.ProgramID{"r", "q"} {
		if r.state.Used(root) == 0 {
			delete(r.spent, root)
		}
		if used := r.state.Used(root); used > r.budget.Tokens {
			r.t.Fatalf("root %s used or reserved %d of %d tokens", root, used, r.budget.Tokens)
		}
	}
}

// doBegin begins a call and checks that no other call of the program is running.
func (r *randomRun) doBegin(k program.Key, host structs.Origin) {
	r.calls++
	req := program.BeginRequest{
		Key: k, Call: structs.CallID(fmt.Sprint("c", r.calls)), Origin: host, Depth: 1, Budget: r.budget,
		Messages:  []structs.Message{message("user", fmt.Sprint("m", r.calls))},
		MaxTokens: rapid.Int64Range(0, 200).Draw(r.t, "max"),
	}
	outcome := r.begin(req)
	if outcome.Busy || outcome.Result.Problem != nil {
		return
	}
	if other, running := r.running[k]; running {
		r.t.Fatalf("%s began while %s runs", req.Call, other.Call)
	}
	if outcome.Result.Fence <= r.fence {
		r.t.Fatalf("fence %d after %d", outcome.Result.Fence, r.fence)
	}
	r.fence = outcome.Result.Fence
	r.running[k] = req
	r.held[outcome.Result.Number] = ""
	r.spent[k.Root] += outcome.Result.PromptTokens + req.MaxTokens
}

// doSettle settles the running call with a usage of at most its reservation.
func (r *randomRun) doSettle(k program.Key) {
	req, ok := r.running[k]
	if !ok {
		return
	}
	delete(r.running, k)
	settle := program.SettleRequest{
		Key: k, Call: req.Call, Outcome: structs.Outcome(rapid.IntRange(1, 3).Draw(r.t, "outcome")),
		Answer:  message("assistant", "ok"),
		Usage:   structs.Usage{TotalTokens: rapid.IntRange(0, int(req.MaxTokens)).Draw(r.t, "used")},
		Replica: structs.ReplicaID(rapid.SampledFrom([]string{"e1", "e2"}).Draw(r.t, "replica")),
		End:     rapid.IntRange(0, 5).Draw(r.t, "end") == 0,
	}
	if err := r.settle(settle); err != nil {
		r.t.Fatalf("settle: %v", err)
	}
}

// doClaim opens and perhaps closes a claim, and requests rate tokens.
func (r *randomRun) doClaim(host structs.Origin) {
	r.calls++
	id := program.ClaimKey{Account: "yard", Key: rapid.SampledFrom([]string{"k1", "k2", "k3", "k4", "k5", "k6"}).Draw(r.t, "claim")}
	call := structs.CallID(fmt.Sprint("k", r.calls))
	result := r.open(program.OpenRequest{Claim: id, Call: call, Origin: host})
	if result.State == program.ClaimOpened && rapid.Bool().Draw(r.t, "close") {
		err := r.close(program.CloseRequest{Claim: id, Call: call, Outcome: structs.Outcome(rapid.IntRange(1, 3).Draw(r.t, "outcome")),
			Answer: &program.StoredAnswer{Status: 200, Body: make([]byte, rapid.IntRange(0, 25).Draw(r.t, "body"))}})
		if err != nil {
			r.t.Fatalf("close: %v", err)
		}
	}
	_, op, err := r.state.DecideGrant(account.GrantRequest{Account: "yard", Origin: host, Seq: uint64(r.calls),
		Need: 3, Spent: int64(r.calls % 3), Rate: 1, Burst: 9}, r.inView, r.clock())
	r.apply(op, err)
}

// drain ends everything and checks that only the releases of held memory remain.
func (r *randomRun) drain() {
	for _, host := range []string{"a", "b", "c"} {
		r.evicted[origin(host, 1)] = true
	}
	r.abandon()
	r.elapsed += r.limits.Idle + 2*r.limits.Retention
	for range 3 {
		r.expire()
	}
	for number := range r.held {
		if r.state.Live(number) {
			r.t.Fatalf("program %x still exists after all of its callers have gone", number)
		}
	}
	for _, release := range r.state.Releases() {
		r.apply(r.state.DecideReleased(release.Replica, release.Numbers))
	}
	if left := r.state.Size(); left != 0 {
		r.t.Fatalf("%d entries remain after the drain", left)
	}
	r.compare()
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
