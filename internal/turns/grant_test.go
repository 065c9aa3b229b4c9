package turns_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/event"
	"cowslipgw/internal/peers"
	"cowslipgw/internal/storelog"
	"cowslipgw/internal/turns"
)

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

// TestPreallocationIsReleasedBeforeItsHomeLeaves guards against programs that outlive several
// planned stops and are ended early, because each home leaves a preallocation behind.
func TestPreallocationIsReleasedBeforeItsHomeLeaves(t *testing.T) {
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
	is.True(grantAll(t, 1000, last) >= 900) // one preallocation is left
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

// TestLostHomesPreallocationIsForgiven guards against programs that cannot go on after the loss
// of all hosts, because a home that is gone might have granted tokens without a record.
func TestLostHomesPreallocationIsForgiven(t *testing.T) {
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
