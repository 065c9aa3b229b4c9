package turns_test

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/event"
	"cowslipgw/internal/peers"
	"cowslipgw/internal/storelog"
	"cowslipgw/internal/turns"
)

// other is a turns.Others with one other home, which may be nil.
type other struct{ to *turns.Home }

func (c other) Release(_ context.Context, args turns.ReleaseArgs) (turns.ReleaseReply, turns.Presence) {
	if c.to != nil {
		if reply, isWriter := c.to.Release(args); isWriter {
			return reply, turns.Present
		}
	}
	return turns.ReleaseReply{}, turns.Silent
}

// hedge is the time after which an append without an answer is sent again, and a margin.
const hedge = 100 * time.Millisecond

// incarnations numbers the homes of the tests.
var incarnations atomic.Int64

// newHome returns a home over log that reaches to, which may be nil.
func newHome(log storelog.Log, to *turns.Home) *turns.Home {
	self := peers.Host{ID: "h", Incarnation: incarnations.Add(1)}
	return turns.NewHome(self, log, other{to}, 8, event.Discard())
}

// down is a fault that makes every call of the store fail.
func down(string, storelog.Partition) (error, bool) { return storelog.ErrUnavailable, false }

// deadline bounds a call of a home in tests.
func deadline(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// begin begins a turn of program p of account a.
func begin(t *testing.T, h *turns.Home, id, parent string, budget int) turns.BeginReply {
	t.Helper()
	return h.Begin(deadline(t, time.Second), turns.BeginArgs{Account: "a", Program: "p", Turn: id, Parent: parent,
		Budget: budget, MaxTokens: 100, RetentionMS: 60_000})
}

// ended is a turn of program p of account a that was answered whole.
func ended(id, parent string, tokens int) turns.Turn {
	return turns.Turn{ID: id, Parent: parent, Account: "a", Program: "p", State: turns.Ended, Tokens: tokens,
		Input: []byte("in-" + id + ";"), Output: []byte("out-" + id + "\n"), Expiry: time.Now().Add(time.Minute).UnixMilli()}
}

// TestChainOfTurns guards against inputs and outputs that reach an engine in the wrong
// order or twice.
func TestChainOfTurns(t *testing.T) {
	is := is.New(t)
	h := newHome(storelog.NewMemory(), nil)
	is.Equal(begin(t, h, "t1", "", 0).Outcome, turns.Granted)
	is.True(h.End(deadline(t, time.Second), ended("t1", "", 10)))
	is.Equal(begin(t, h, "t2", "t1", 0).Outcome, turns.Granted)
	is.True(h.End(deadline(t, time.Second), ended("t2", "t1", 10)))
	reply := begin(t, h, "t3", "t2", 0)
	is.Equal(reply.Outcome, turns.Granted)
	is.Equal(string(reply.Chain), "in-t1;out-t1\nin-t2;out-t2\n")
}

// TestAnotherHomeContinues guards against history that is lost when any host that
// answered for a program is gone.
func TestAnotherHomeContinues(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	first, second := newHome(log, nil), newHome(log, nil)
	is.Equal(begin(t, second, "t0", "", 0).Outcome, turns.Granted) // second is loaded, and stale later
	is.True(first.End(deadline(t, time.Second), ended("t1", "", 10)))
	is.Equal(string(begin(t, second, "t2", "t1", 0).Chain), "in-t1;out-t1\n")
}

// TestStaleHomeDoesNotDeny guards against a 404 for a turn that another home has kept
// while this one cannot read the store.
func TestStaleHomeDoesNotDeny(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	first, second := newHome(log, nil), newHome(log, nil)
	is.Equal(begin(t, second, "t0", "", 0).Outcome, turns.Granted)
	is.True(first.End(deadline(t, time.Second), ended("t1", "", 10)))
	log.SetFault(down)
	is.Equal(begin(t, second, "t2", "t1", 0).Outcome, turns.Unavailable)
	located := second.Locate(deadline(t, time.Second), turns.LocateArgs{Account: "a", Turn: "t1"}, func(int) bool { return true })
	is.Equal(located.Certain, uint64(0))
}

// TestTurnsAreKeptByTheStoreAlone guards against answers that look whole although their
// turn is lost with all hosts.
func TestTurnsAreKeptByTheStoreAlone(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	backup := newHome(log, nil)
	first := newHome(log, backup)
	is.Equal(begin(t, first, "t0", "", 0).Outcome, turns.Granted)
	log.SetFault(down)
	is.True(!first.End(deadline(t, 300*time.Millisecond), ended("t1", "", 10)))
	log.SetFault(nil)
	is.True(first.End(deadline(t, time.Second), ended("t1", "", 10)))
	is.Equal(begin(t, backup, "t2", "t1", 0).Outcome, turns.Granted)
}

// TestReservationsSurviveTheirHome guards against a budget that is granted again when
// its home is lost while the store is down.
func TestReservationsSurviveTheirHome(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	backup := newHome(log, nil)
	first := newHome(log, backup)
	is.Equal(begin(t, first, "first", "", 450).Outcome, turns.Granted)
	log.SetFault(down)
	is.Equal(begin(t, first, "second", "", 450).Outcome, turns.Granted)
	log.SetFault(nil)
	// first is gone; it never appended the reservation as far as backup knows.
	is.True(200+grantAll(t, 450, backup) <= 450)
}

// grantAll begins turns of 100 tokens at the homes in turn until each refuses, and
// returns the tokens granted.
func grantAll(t *testing.T, budget int, homes ...*turns.Home) int {
	t.Helper()
	granted, refused := 0, 0
	for n := 0; refused < len(homes); n++ {
		switch begin(t, homes[n%len(homes)], "t"+strconv.Itoa(n), "", budget).Outcome {
		case turns.Granted:
			granted += 100
			refused = 0
		case turns.Exhausted:
			refused++
		default:
			t.Fatal("home is not available")
		}
	}
	return granted
}

// TestBudgetOfOneHome guards against a budget that is exceeded, or not used, by turns
// that begin without a record of their own.
func TestBudgetOfOneHome(t *testing.T) {
	is := is.New(t)
	is.Equal(grantAll(t, 1000, newHome(storelog.NewMemory(), nil)), 1000)
}

// TestBudgetOverTwoHomes guards against two hosts that both act as home and grant the
// same tokens. What one may have granted ahead counts as used for the other.
func TestBudgetOverTwoHomes(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	granted := grantAll(t, 2000, newHome(log, nil), newHome(log, nil))
	is.True(granted <= 2000)
	is.True(granted >= 2000-2*150-100)
}

// TestMovedHomeReleasesBudget guards against programs that are told that their budget is
// spent because a home that is still alive might have granted tokens ahead.
func TestMovedHomeReleasesBudget(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	first := newHome(log, nil)
	second := newHome(log, first)
	is.Equal(begin(t, first, "t1", "", 250).Outcome, turns.Granted)
	is.True(second.End(deadline(t, time.Second), ended("t1", "", 10)))
	is.Equal(begin(t, second, "t2", "t1", 250).Outcome, turns.Granted)
	is.Equal(begin(t, second, "t3", "t1", 250).Outcome, turns.Granted)
	is.Equal(begin(t, second, "t4", "t1", 250).Outcome, turns.Exhausted)
}

// TestAllowanceIsReleasedBeforeItsHomeLeaves guards against programs that outlive several
// planned stops and are ended early, because each home leaves an allowance behind.
func TestAllowanceIsReleasedBeforeItsHomeLeaves(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	home := newHome(log, nil)
	is.Equal(begin(t, home, "t0", "", 1000).Outcome, turns.Granted)
	for n := range 4 { // each takes over while the one before drains
		home = newHome(log, home)
		is.Equal(begin(t, home, "t"+strconv.Itoa(n+1), "", 1000).Outcome, turns.Granted)
		time.Sleep(20 * time.Millisecond)
		is.True(home.End(deadline(t, time.Second), ended("t"+strconv.Itoa(n), "", 0)))
	}
	is.True(home.End(deadline(t, time.Second), ended("t4", "", 0)))
	last := newHome(log, nil)
	is.True(grantAll(t, 1000, last) >= 900) // one allowance is left
}

// TestReleaseCountsOpenTurns guards against tokens that are granted again although the
// home before granted them to a turn that is still under way.
func TestReleaseCountsOpenTurns(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	first := newHome(log, nil)
	second := newHome(log, first)
	is.Equal(begin(t, first, "t1", "", 250).Outcome, turns.Granted)
	is.Equal(begin(t, first, "ahead", "", 250).Outcome, turns.Granted) // no record is written
	is.True(second.End(deadline(t, time.Second), ended("t1", "", 10)))
	is.Equal(begin(t, second, "t2", "t1", 250).Outcome, turns.Granted)
	is.Equal(begin(t, second, "t3", "t1", 250).Outcome, turns.Exhausted)
	is.Equal(begin(t, first, "t4", "", 250).Outcome, turns.Exhausted) // releases bind the first home, too
	is.True(second.End(deadline(t, time.Second), ended("ahead", "", 20)))
	is.Equal(begin(t, second, "t5", "t1", 250).Outcome, turns.Granted)
}

// TestUncertainReservationIsSettled guards against programs that are ended early because a
// reservation was stored after its turn was refused: the home must say that it may be.
func TestUncertainReservationIsSettled(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	gate := make(chan struct{})
	h := newHome(gatedLog{log, gate}, nil)
	args := turns.BeginArgs{Account: "a", Program: "p", Turn: "refused", MaxTokens: 100, Budget: 100, RetentionMS: 60_000}
	refused := h.Begin(deadline(t, 50*time.Millisecond), args)
	is.Equal(refused.Outcome, turns.Unavailable)
	is.True(refused.Uncertain)
	close(gate)
	failed := ended("refused", "", 0)
	failed.State, failed.Input, failed.Output = turns.Failed, nil, nil
	is.True(h.End(deadline(t, time.Second), failed))
	args.Turn = "next"
	is.Equal(h.Begin(deadline(t, time.Second), args).Outcome, turns.Granted)
}

// lossNetwork is a turns.Others whose homes are all gone.
type lossNetwork struct{}

func (lossNetwork) Release(context.Context, turns.ReleaseArgs) (turns.ReleaseReply, turns.Presence) {
	return turns.ReleaseReply{}, turns.Gone
}

// TestLostHomesAllowanceIsForgiven guards against programs that cannot go on after the loss
// of all hosts, because a home that is gone might have granted tokens without a record.
func TestLostHomesAllowanceIsForgiven(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := storelog.NewMemory()
		first := newHome(log, nil)
		is.Equal(begin(t, first, "first", "", 600).Outcome, turns.Granted)
		is.True(first.End(deadline(t, time.Second), ended("first", "", 100)))
		second := turns.NewHome(peers.Host{ID: "s", Incarnation: 1}, log, lossNetwork{}, 8, event.Discard())
		is.Equal(grantAll(t, 600, second), 400) // 100 used, 100 may be granted by the first
		time.Sleep(6 * time.Second)             // turns of the first are settled by now
		is.Equal(begin(t, second, "forgiven", "", 600).Outcome, turns.Granted)
		is.Equal(begin(t, second, "beyond", "", 600).Outcome, turns.Exhausted)
	})
}

// TestBudgetAfterLossOfHome guards against tokens that are granted again after the home
// that granted them ahead, without a record, is lost.
func TestBudgetAfterLossOfHome(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	first := newHome(log, nil)
	is.Equal(begin(t, first, "first", "", 500).Outcome, turns.Granted)
	is.Equal(begin(t, first, "ahead", "", 500).Outcome, turns.Granted) // no record is written
	granted := 200 + grantAll(t, 500, newHome(log, nil))
	is.True(granted <= 500)
	is.True(granted >= 400)
}

// TestSettledTurnsFreeTheirReservation guards against programs that are ended early
// because turns count with the most that they could have generated.
func TestSettledTurnsFreeTheirReservation(t *testing.T) {
	is := is.New(t)
	h := newHome(storelog.NewMemory(), nil)
	parent := ""
	for n := range 20 { // 20 turns of 10 tokens in a budget of 400
		id := "t" + strconv.Itoa(n)
		is.Equal(begin(t, h, id, parent, 400).Outcome, turns.Granted)
		is.True(h.End(deadline(t, time.Second), ended(id, parent, 10)))
		parent = id
	}
}

// TestLostAnswerOfAppend guards against a turn that is refused or counted twice when
// the store's answer is lost after the append took effect.
func TestLostAnswerOfAppend(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	h := newHome(log, nil)
	is.Equal(begin(t, h, "t0", "", 300).Outcome, turns.Granted)
	lost := false
	log.SetFault(func(call string, _ storelog.Partition) (error, bool) {
		if call == "append" && !lost {
			lost = true
			return storelog.ErrUnknown, true
		}
		return nil, false
	})
	is.Equal(begin(t, h, "t1", "", 300).Outcome, turns.Granted)
	is.Equal(begin(t, h, "t2", "", 300).Outcome, turns.Granted)
	is.Equal(begin(t, h, "t3", "", 300).Outcome, turns.Exhausted)
}

// lossyLog executes every append and loses the first answer of each two. Late says that
// the append whose answer is lost is executed when the caller has given up.
type lossyLog struct {
	*storelog.Memory
	late    bool
	appends atomic.Int64
}

func (l *lossyLog) Append(ctx context.Context, p storelog.Partition, expected int64, records []storelog.Record) (int64, error) {
	if l.appends.Add(1)%2 == 0 {
		return l.Memory.Append(ctx, p, expected, records)
	}
	if l.late {
		time.Sleep(2 * time.Second)
	}
	_, _ = l.Memory.Append(ctx, p, expected, records)
	<-ctx.Done()
	return -1, storelog.ErrUnknown
}

// TestLostAnswersDelayLittle answers a store that loses the answers of appends, which it
// executes at once or late: the end of a turn must not wait for the timeout of the call.
func TestLostAnswersDelayLittle(t *testing.T) {
	for _, late := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			log := &lossyLog{Memory: storelog.NewMemory(), late: late}
			h := newHome(log, nil)
			parent, chain := "", ""
			for n := range 10 {
				id := "t" + strconv.Itoa(n)
				start := time.Now()
				is.True(h.End(deadline(t, time.Second), ended(id, parent, 10)))
				is.True(time.Since(start) <= hedge)
				parent, chain = id, chain+"in-"+id+";out-"+id+"\n"
			}
			is.Equal(log.appends.Load(), int64(20)) // each once, and once more to learn that it took effect
			time.Sleep(5 * time.Second)
			is.Equal(string(begin(t, newHome(log, nil), "next", parent, 0).Chain), chain)
			time.Sleep(5 * time.Second)
		})
	}
}

// TestSlowStoreGetsAppendsOnce guards against a store that is slow and gets each append
// twice, which makes it slower.
func TestSlowStoreGetsAppendsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := storelog.NewMemory()
		var appends atomic.Int64
		log.SetFault(func(call string, _ storelog.Partition) (error, bool) {
			if call == "append" {
				appends.Add(1)
				time.Sleep(240 * time.Millisecond)
			}
			return nil, false
		})
		h := newHome(log, nil)
		for n := range 10 {
			is.True(h.End(deadline(t, 2*time.Second), ended("t"+strconv.Itoa(n), "", 10)))
		}
		is.True(appends.Load() <= 12)
		time.Sleep(time.Second)
	})
}

// gatedLog executes appends only when its gate is open.
type gatedLog struct {
	*storelog.Memory
	gate chan struct{}
}

func (l gatedLog) Append(ctx context.Context, p storelog.Partition, expected int64, records []storelog.Record) (int64, error) {
	<-l.gate
	return l.Memory.Append(ctx, p, expected, records)
}

// countingLog counts the records of appends.
type countingLog struct {
	*storelog.Memory
	records atomic.Int64
}

func (l *countingLog) Append(ctx context.Context, p storelog.Partition, expected int64, records []storelog.Record) (int64, error) {
	end, err := l.Memory.Append(ctx, p, expected, records)
	if err == nil {
		l.records.Add(int64(len(records)))
	}
	return end, err
}

// TestRepeatedSettlementIsQueuedOnce answers a long outage of the store, in which hosts
// repeat each settlement: every repetition must not become a record.
func TestRepeatedSettlementIsQueuedOnce(t *testing.T) {
	is := is.New(t)
	log := &countingLog{Memory: storelog.NewMemory()}
	h := newHome(log, nil)
	is.Equal(begin(t, h, "t0", "", 0).Outcome, turns.Granted)
	log.SetFault(down)
	before := log.records.Load()
	for range 20 {
		is.True(!h.End(deadline(t, 5*time.Millisecond), ended("t0", "", 10)))
	}
	log.SetFault(nil)
	is.True(h.End(deadline(t, time.Second), ended("t0", "", 10)))
	is.Equal(log.records.Load()-before, int64(1))
}

// TestLateReservationDoesNotHideTurn guards against the reservation of a turn that is
// appended after the turn's end and then is all that a new home reads of it.
func TestLateReservationDoesNotHideTurn(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	gate := make(chan struct{})
	slow := newHome(gatedLog{log, gate}, nil)
	args := turns.BeginArgs{Account: "a", Program: "p", Turn: "t1", MaxTokens: 100, RetentionMS: 60_000}
	is.Equal(slow.Begin(deadline(t, 50*time.Millisecond), args).Outcome, turns.Unavailable)
	fast := newHome(log, nil)
	is.True(fast.End(deadline(t, time.Second), ended("t1", "", 10)))
	close(gate)
	is.Equal(begin(t, slow, "t2", "t1", 0).Outcome, turns.Granted)
	fresh := newHome(log, nil)
	is.Equal(begin(t, fresh, "t3", "t1", 0).Outcome, turns.Granted)
}

// TestRefusedTurnLeavesBudget guards against programs that are ended early because turns
// count that were refused while the store was down and never ran.
func TestRefusedTurnLeavesBudget(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	h := newHome(log, nil)
	is.Equal(begin(t, h, "t0", "", 300).Outcome, turns.Granted)
	is.True(h.End(deadline(t, time.Second), ended("t0", "", 0)))
	log.SetFault(down)
	is.Equal(begin(t, h, "ahead", "", 300).Outcome, turns.Granted)
	for n := range 3 {
		id := "refused" + strconv.Itoa(n)
		args := turns.BeginArgs{Account: "a", Program: "p", Turn: id, MaxTokens: 100, Budget: 300, RetentionMS: 60_000}
		is.Equal(h.Begin(deadline(t, 30*time.Millisecond), args).Outcome, turns.Unavailable)
	}
	log.SetFault(nil)
	time.Sleep(100 * time.Millisecond)
	is.Equal(begin(t, h, "t1", "", 300).Outcome, turns.Granted)
	is.Equal(begin(t, h, "t2", "", 300).Outcome, turns.Granted)
	is.Equal(begin(t, h, "t3", "", 300).Outcome, turns.Exhausted)
}

// TestLoadOutlivesItsCallers answers the start of a large fleet, when reads of the store
// are slow: callers that give up must not make the load begin anew each time.
func TestLoadOutlivesItsCallers(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	is.True(newHome(log, nil).End(deadline(t, time.Second), ended("t1", "", 10)))
	loads := make(chan struct{}, 100)
	log.SetFault(func(call string, _ storelog.Partition) (error, bool) {
		if call == "newest" {
			loads <- struct{}{}
			time.Sleep(300 * time.Millisecond)
		}
		return nil, false
	})
	slow := newHome(log, nil)
	args := turns.BeginArgs{Account: "a", Program: "p", Turn: "t2", Parent: "t1", MaxTokens: 100}
	for range 3 {
		is.Equal(slow.Begin(deadline(t, 50*time.Millisecond), args).Outcome, turns.Unavailable)
	}
	time.Sleep(400 * time.Millisecond)
	is.Equal(slow.Begin(deadline(t, 50*time.Millisecond), args).Outcome, turns.Granted)
	is.Equal(len(loads), 1)
}

// TestStaleHomeDoesNotGrant guards against a budget that is exceeded in an outage of the
// store by a home whose state is old: others may have granted since.
func TestStaleHomeDoesNotGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := storelog.NewMemory()
		backup := newHome(log, nil)
		first := newHome(log, backup)
		is.Equal(begin(t, first, "t0", "", 10_000).Outcome, turns.Granted)
		is.Equal(begin(t, first, "t1", "", 10_000).Outcome, turns.Granted) // ahead
		time.Sleep(5 * time.Second)
		log.SetFault(down)
		is.Equal(begin(t, first, "t2", "", 10_000).Outcome, turns.Unavailable)
		log.SetFault(nil)
		time.Sleep(time.Second)
		is.Equal(begin(t, first, "t3", "", 10_000).Outcome, turns.Granted)
	})
}
