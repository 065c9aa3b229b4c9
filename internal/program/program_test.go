package program_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/account"
	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
)

// TestTurns guards against lost or repeated turns when answers of the owner are lost
// and its host fails between begin and settle.
func TestTurns(t *testing.T) {
	is := is.New(t)
	o := testOwner(t)
	a := origin("a", 1)
	first := program.BeginRequest{Key: key("r", "r"), Call: "c1", Origin: a, Depth: 1,
		Messages: []structs.Message{message("user", "hi")}, MaxTokens: 10}
	begun := o.begin(first)
	is.Equal(begun.Result.Turn, 1)
	is.Equal(program.PartitionOf(begun.Result.Number), o.state.ID())
	o.failOver(program.DefaultLimits)
	again := o.begin(first)
	is.Equal(again.Op, nil)
	is.Equal(again.Result.Fence, begun.Result.Fence)
	is.Equal(texts(again.Result.History), `user:"hi" `)
	is.Equal(o.state.Running(epoch.Add(time.Second)), []program.RunningCall{{Key: first.Key, Call: "c1", Origin: a}})
	is.Equal(len(o.state.Running(epoch)), 0)
	second := first
	second.Call = "c2"
	second.Messages = []structs.Message{message("user", "more")}
	is.True(o.begin(second).Busy)
	done := program.SettleRequest{Key: first.Key, Call: "c1", Outcome: structs.OutcomeAnswered,
		Answer: message("assistant", "yo"), Usage: structs.Usage{TotalTokens: 9}, Replica: "e1"}
	is.NoErr(o.settle(done))
	is.NoErr(o.settle(done))
	ended := o.begin(first)
	is.Equal(ended.Result.Problem.Code, "call-ended")
	next := o.begin(second)
	is.Equal(texts(next.Result.History), `user:"hi" assistant:"yo" user:"more" `)
	is.Equal(next.Result.Turn, 2)
	is.Equal(next.Result.Holders, []structs.ReplicaID{"e1"})
	is.True(next.Result.Fence > begun.Result.Fence)
	is.NoErr(o.settle(program.SettleRequest{Key: first.Key, Call: "c2", Outcome: structs.OutcomeNotRun}))
	third := second
	third.Call = "c3"
	is.Equal(o.begin(third).Result.Turn, 2)
	o.compare()
}

// TestAbandon guards against starting the next call while an evicted host may still
// send the previous one, also when the owner fails in between.
func TestAbandon(t *testing.T) {
	is := is.New(t)
	o := testOwner(t)
	a, b := origin("a", 1), origin("b", 1)
	budget := structs.Budget{Tokens: 300}
	req := program.BeginRequest{Key: key("r", "r"), Call: "c1", Origin: a, MaxTokens: 200, Budget: budget}
	o.begin(req)
	o.evicted[a] = true
	o.abandon()
	is.True(errors.Is(o.settle(program.SettleRequest{Key: req.Key, Call: "c1", Outcome: structs.OutcomeAnswered}), program.ErrCallEnded))
	next := req
	next.Call, next.Origin, next.MaxTokens = "c2", b, 50
	wait := o.begin(next)
	is.Equal(wait.RetryAfter, program.DispatchWindow)
	o.elapsed += time.Second
	o.failOver(program.DefaultLimits)
	is.Equal(o.begin(next).RetryAfter, program.DispatchWindow)
	o.elapsed += program.DispatchWindow
	is.True(!o.begin(next).Busy)
	is.NoErr(o.settle(program.SettleRequest{Key: req.Key, Call: "c2", Outcome: structs.OutcomeAnswered, Usage: structs.Usage{TotalTokens: 50}}))
	// The call with the unknown outcome keeps its 200 tokens, so 51 more do not fit.
	overBudget := next
	overBudget.Call, overBudget.MaxTokens = "c3", 51
	is.Equal(o.begin(overBudget).Result.Problem.Code, "budget-exhausted")
	late := req
	late.Call = "c4"
	is.Equal(o.begin(late).Result.Problem.Run, structs.RunNo)
}

// TestReleases guards against engine memory that is never released after its program
// has ended.
func TestReleases(t *testing.T) {
	is := is.New(t)
	o := testOwner(t)
	call := func(k program.Key, id structs.CallID, replica structs.ReplicaID, end bool) uint64 {
		begun := o.begin(program.BeginRequest{Key: k, Call: id, Origin: origin("a", 1)})
		is.NoErr(o.settle(program.SettleRequest{Key: k, Call: id, Outcome: structs.OutcomeAnswered, Replica: replica, End: end}))
		return begun.Result.Number
	}
	root := call(key("r", "r"), "c1", "e1", false)
	call(key("r", "r"), "c2", "e2", false)
	sub := call(key("r", "s"), "c3", "e1", false)
	is.Equal(len(o.state.Releases()), 0)
	o.apply(o.state.DecideEnd(program.EndRequest{Key: key("r", "r")}, o.clock()))
	is.Equal(o.state.Releases(), []program.Release{{Replica: "e1", Numbers: []uint64{root, sub}}, {Replica: "e2", Numbers: []uint64{root}}})
	is.True(!o.state.Live(root))
	o.apply(o.state.DecideReleased("e1", []uint64{root}))
	o.apply(o.state.DecideReleased("e2", nil))
	is.Equal(o.state.Releases(), []program.Release{{Replica: "e1", Numbers: []uint64{sub}}})
	idle := call(key("i", "i"), "c4", "e3", false)
	o.elapsed += program.DefaultLimits.Idle
	o.expire()
	is.Equal(o.state.Releases()[1].Numbers, []uint64{idle})
	once := call(key("x", "x"), "c5", "e4", true)
	is.True(!o.state.Live(once))
	o.compare()
}

// TestRootEndsWhileCallsRun guards against a budget that starts afresh while calls of
// the old root are still running.
func TestRootEndsWhileCallsRun(t *testing.T) {
	is := is.New(t)
	o := testOwner(t)
	o.begin(program.BeginRequest{Key: key("r", "s"), Call: "c1", Origin: origin("a", 1)})
	o.apply(o.state.DecideEnd(program.EndRequest{Key: key("r", "r")}, o.clock()))
	again := program.BeginRequest{Key: key("r", "r"), Call: "c2", Origin: origin("a", 1)}
	is.True(o.begin(again).Busy)
	is.NoErr(o.settle(program.SettleRequest{Key: key("r", "s"), Call: "c1", Outcome: structs.OutcomeAnswered}))
	is.Equal(o.begin(again).Result.Turn, 1)
}

// TestClaims guards against a request that runs twice under one idempotency key.
func TestClaims(t *testing.T) {
	is := is.New(t)
	limits := program.DefaultLimits
	limits.MaxClaims, limits.MaxAnswerBytes = 4, 10
	o := newOwner(t.Fatalf, limits)
	a, b := origin("a", 1), origin("b", 1)
	openClaim := func(name string, call structs.CallID, from structs.Origin, body byte) program.OpenResult {
		return o.open(program.OpenRequest{Claim: program.ClaimKey{Account: "yard", Key: name}, Digest: [32]byte{body}, Call: call, Origin: from})
	}
	closeClaim := func(name string, call structs.CallID, outcome structs.Outcome, body string) error {
		return o.close(program.CloseRequest{Claim: program.ClaimKey{Account: "yard", Key: name}, Call: call, Outcome: outcome,
			Answer: &program.StoredAnswer{Status: 200, Body: []byte(body)}})
	}
	is.Equal(openClaim("k1", "c1", a, 1).State, program.ClaimOpened)
	is.Equal(openClaim("k1", "c1", a, 1).State, program.ClaimOpened) // The first answer was lost.
	is.Equal(openClaim("k1", "c2", b, 1).State, program.ClaimRunning)
	is.Equal(openClaim("k1", "c2", b, 2).State, program.ClaimMismatch)
	o.evicted[a] = true
	is.Equal(openClaim("k1", "c2", b, 1).State, program.ClaimUnknown)
	is.NoErr(closeClaim("k1", "c1", structs.OutcomeAnswered, "12345678"))
	is.Equal(string(openClaim("k1", "c2", b, 1).Answer.Body), "12345678")
	is.True(errors.Is(closeClaim("k1", "c2", structs.OutcomeNotRun, ""), program.ErrCallEnded))
	is.Equal(openClaim("k2", "c3", b, 1).State, program.ClaimOpened)
	is.NoErr(closeClaim("k2", "c3", structs.OutcomeNotRun, ""))
	is.Equal(openClaim("k2", "c4", b, 1).State, program.ClaimOpened)
	o.elapsed += time.Second
	is.NoErr(closeClaim("k2", "c4", structs.OutcomeAnswered, "abc"))
	dropped := openClaim("k1", "c5", b, 1)
	is.Equal(dropped.State, program.ClaimFinished)
	is.Equal(dropped.Problem.Run, structs.RunYes)
	is.Equal(openClaim("k3", "c6", b, 1).State, program.ClaimOpened)
	is.Equal(openClaim("k4", "c7", b, 1).State, program.ClaimOpened)
	is.Equal(openClaim("k5", "c8", b, 1).Problem.Run, structs.RunNo)
	is.NoErr(closeClaim("k3", "c6", structs.OutcomeUnknown, ""))
	is.Equal(openClaim("k3", "c9", b, 1).State, program.ClaimUnknown)
	o.elapsed += limits.Retention
	o.expire()
	is.Equal(openClaim("k1", "c10", b, 1).State, program.ClaimOpened)
	is.Equal(openClaim("k4", "c11", b, 1).State, program.ClaimRunning)       // The host is still running the request.
	is.Equal(openClaim("k\xff\xfe", "c12", b, 1).State, program.ClaimOpened) // A header may contain any bytes.
	is.Equal(len(o.state.RunningClaims(o.clock().Now)), 1)
	is.Equal(o.state.RunningClaims(o.clock().Now)[0].Call, structs.CallID("c7"))
	o.failOver(limits)
	o.compare()
}

// TestDataLoss guards against running a request whose claim was lost with the copies,
// and against assigning program numbers or granting rate tokens twice.
func TestDataLoss(t *testing.T) {
	is := is.New(t)
	o := testOwner(t)
	before := o.begin(program.BeginRequest{Key: key("r", "r"), Call: "c1", Origin: origin("a", 1)})
	o = testOwner(t)
	o.apply(o.state.DecideDataLoss(1000, o.clock()))
	claim := program.OpenRequest{Claim: program.ClaimKey{Account: "yard", Key: "k"}, Call: "c1", Origin: origin("a", 1)}
	is.Equal(o.open(claim).State, program.ClaimUnknown)
	after := o.begin(program.BeginRequest{Key: key("r", "r"), Call: "c2", Origin: origin("a", 1)})
	is.True(after.Result.Number > before.Result.Number)
	o.elapsed += time.Second
	grant, op, err := o.state.DecideGrant(account.GrantRequest{Account: "yard", Origin: origin("a", 1), Seq: 1, Need: 9, Rate: 2, Burst: 10}, o.inView, o.clock())
	o.apply(op, err)
	is.Equal(grant.Granted, int64(2))
	o.elapsed += program.DefaultLimits.Retention
	o.expire()
	is.Equal(o.open(claim).State, program.ClaimOpened)
	o.compare()
}

// TestWaiting guards against calls that begin in another order than they were accepted.
func TestWaiting(t *testing.T) {
	is := is.New(t)
	w := program.NewWaitQueues()
	ready := func(ticket *program.Ticket) bool {
		select {
		case <-ticket.Ready():
			return true
		default:
			return false
		}
	}
	since := time.Unix(1, 0)
	a, b, c := w.Enter(key("r", "r"), since), w.Enter(key("r", "r"), since), w.Enter(key("r", "r"), since)
	is.True(ready(a))
	w.Wake(key("r", "s"))
	is.True(ready(a))
	is.True(!ready(b))
	b.Leave()
	is.True(!ready(c))
	a.Leave()
	is.True(ready(c))
	c.Leave()
	w.WakeAll()
	is.True(ready(w.Enter(key("r", "r"), since)))
}
