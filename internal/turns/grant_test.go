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

// TestReservationsSurviveTheirOwner guards against a budget that is granted again when its
// owner is lost while the store is down.
func TestReservationsSurviveTheirOwner(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	backup := newOwner(log, nil)
	first := newOwner(log, backup)
	is.Equal(begin(t, first, "first", "", 450).Outcome, turns.Granted)
	log.SetFault(down)
	is.Equal(begin(t, first, "second", "", 450).Outcome, turns.Granted)
	log.SetFault(nil)
	// first is lost; it never appended the reservation of the second turn.
	is.True(200+grantAll(t, 450, backup) <= 450)
}

// grantAll begins turns of 100 tokens at the owners round-robin until each of them denies
// one, and returns the tokens granted.
func grantAll(t *testing.T, budget int, owners ...*turns.Owner) int {
	t.Helper()
	granted, refused := 0, 0
	for n := 0; refused < len(owners); n++ {
		switch begin(t, owners[n%len(owners)], "t"+strconv.Itoa(n), "", budget).Outcome {
		case turns.Granted:
			granted += 100
			refused = 0
		case turns.Exhausted:
			refused++
		default:
			t.Fatal("owner is unavailable")
		}
	}
	return granted
}

// TestBudgetOfOneOwner guards against a budget that is exceeded or left unused because turns
// begin without records of their own.
func TestBudgetOfOneOwner(t *testing.T) {
	is := is.New(t)
	is.Equal(grantAll(t, 1000, newOwner(storelog.NewMemory(), nil)), 1000)
}

// TestBudgetOverTwoOwners guards against two concurrent owners that grant the same tokens.
// The preallocation of one counts as used for the other.
func TestBudgetOverTwoOwners(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	granted := grantAll(t, 2000, newOwner(log, nil), newOwner(log, nil))
	is.True(granted <= 2000)
	is.True(granted >= 2000-2*150-100)
}

// TestPreviousOwnerReleasesBudget guards against a budget that is reported as exhausted because
// a previous owner that still runs might have granted its preallocation.
func TestPreviousOwnerReleasesBudget(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	first := newOwner(log, nil)
	second := newOwner(log, first)
	is.Equal(begin(t, first, "t1", "", 250).Outcome, turns.Granted)
	is.True(second.End(deadline(t, time.Second), ended("t1", "", 10)).Kept)
	is.Equal(begin(t, second, "t2", "t1", 250).Outcome, turns.Granted)
	is.Equal(begin(t, second, "t3", "t1", 250).Outcome, turns.Granted)
	is.Equal(begin(t, second, "t4", "t1", 250).Outcome, turns.Exhausted)
}

// TestPreallocationIsReleasedBeforeItsHomeLeaves guards against a budget that runs out
// early over several planned stops because each owner leaves a preallocation behind.
func TestPreallocationIsReleasedBeforeItsHomeLeaves(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	owner := newOwner(log, nil)
	is.Equal(begin(t, owner, "t0", "", 1000).Outcome, turns.Granted)
	for n := range 4 { // each takes over while its predecessor drains
		owner = newOwner(log, owner)
		is.Equal(begin(t, owner, "t"+strconv.Itoa(n+1), "", 1000).Outcome, turns.Granted)
		time.Sleep(20 * time.Millisecond)
		is.True(owner.End(deadline(t, time.Second), ended("t"+strconv.Itoa(n), "", 0)).Kept)
	}
	is.True(owner.End(deadline(t, time.Second), ended("t4", "", 0)).Kept)
	last := newOwner(log, nil)
	is.True(grantAll(t, 1000, last) >= 900) // one preallocation is left
}

// TestReleaseCountsOpenTurns guards against tokens that are granted again although the
// previous owner granted them to a turn that is still in progress.
func TestReleaseCountsOpenTurns(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	first := newOwner(log, nil)
	second := newOwner(log, first)
	is.Equal(begin(t, first, "t1", "", 250).Outcome, turns.Granted)
	is.Equal(begin(t, first, "ahead", "", 250).Outcome, turns.Granted) // no record is written
	is.True(second.End(deadline(t, time.Second), ended("t1", "", 10)).Kept)
	is.Equal(begin(t, second, "t2", "t1", 250).Outcome, turns.Granted)
	is.Equal(begin(t, second, "t3", "t1", 250).Outcome, turns.Exhausted)
	is.Equal(begin(t, first, "t4", "", 250).Outcome, turns.Exhausted) // the release binds first, too
	is.True(second.End(deadline(t, time.Second), ended("ahead", "", 20)).Kept)
	is.Equal(begin(t, second, "t5", "t1", 250).Outcome, turns.Granted)
}

// TestUncertainReservationIsSettled guards against a budget that runs out early because a
// reservation was stored after its turn was rejected: the owner must report that this may
// happen.
func TestUncertainReservationIsSettled(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	gate := make(chan struct{})
	o := newOwner(gatedLog{log, gate}, nil)
	args := turns.BeginArgs{Account: "a", Program: "p", Turn: "refused", MaxTokens: 100, Budget: 100, RetentionMS: 60_000}
	refused := o.Begin(deadline(t, 50*time.Millisecond), args)
	is.Equal(refused.Outcome, turns.Unavailable)
	is.True(refused.Uncertain)
	close(gate)
	failed := ended("refused", "", 0)
	failed.State, failed.Input, failed.Output = turns.Closed, nil, nil
	is.True(o.End(deadline(t, time.Second), failed).Kept)
	args.Turn = "next"
	is.Equal(o.Begin(deadline(t, time.Second), args).Outcome, turns.Granted)
}

// terminatedPeers is a turns.Peers whose owners have all terminated.
type terminatedPeers struct{}

func (terminatedPeers) Release(context.Context, turns.ReleaseArgs) (turns.ReleaseReply, turns.Presence) {
	return turns.ReleaseReply{}, turns.Terminated
}

// TestLostHomesPreallocationIsForgiven guards against programs that cannot continue after
// the loss of all hosts because a terminated owner might have granted tokens without a
// record.
func TestLostHomesPreallocationIsForgiven(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := storelog.NewMemory()
		first := newOwner(log, nil)
		is.Equal(begin(t, first, "first", "", 600).Outcome, turns.Granted)
		is.True(first.End(deadline(t, time.Second), ended("first", "", 100)).Kept)
		second := turns.NewOwner(peers.Host{ID: "s", Incarnation: 1}, log, terminatedPeers{}, 8, event.Discard())
		is.Equal(grantAll(t, 600, second), 400) // 100 used, 100 preallocated to the first
		time.Sleep(6 * time.Second)             // the settlement grace period is over
		is.Equal(begin(t, second, "forgiven", "", 600).Outcome, turns.Granted)
		is.Equal(begin(t, second, "beyond", "", 600).Outcome, turns.Exhausted)
	})
}

// TestBudgetAfterLossOfOwner guards against preallocated tokens that are granted again after
// the owner that granted them without a record is lost.
func TestBudgetAfterLossOfOwner(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	first := newOwner(log, nil)
	is.Equal(begin(t, first, "first", "", 500).Outcome, turns.Granted)
	is.Equal(begin(t, first, "ahead", "", 500).Outcome, turns.Granted) // no record is written
	granted := 200 + grantAll(t, 500, newOwner(log, nil))
	is.True(granted <= 500)
	is.True(granted >= 400)
}

// TestSettledTurnsFreeTheirReservation guards against a budget that runs out early because
// settled turns count with their reservation instead of their actual tokens.
func TestSettledTurnsFreeTheirReservation(t *testing.T) {
	is := is.New(t)
	o := newOwner(storelog.NewMemory(), nil)
	parent := ""
	for n := range 20 { // 20 turns of 10 tokens in a budget of 400
		id := "t" + strconv.Itoa(n)
		is.Equal(begin(t, o, id, parent, 400).Outcome, turns.Granted)
		is.True(o.End(deadline(t, time.Second), ended(id, parent, 10)).Kept)
		parent = id
	}
}

// TestRefusedTurnLeavesBudget guards against a budget that runs out early because of turns
// that were rejected while the store was down and never ran.
func TestRefusedTurnLeavesBudget(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	o := newOwner(log, nil)
	is.Equal(begin(t, o, "t0", "", 300).Outcome, turns.Granted)
	is.True(o.End(deadline(t, time.Second), ended("t0", "", 0)).Kept)
	log.SetFault(down)
	is.Equal(begin(t, o, "ahead", "", 300).Outcome, turns.Granted)
	for n := range 3 {
		id := "refused" + strconv.Itoa(n)
		args := turns.BeginArgs{Account: "a", Program: "p", Turn: id, MaxTokens: 100, Budget: 300, RetentionMS: 60_000}
		is.Equal(o.Begin(deadline(t, 30*time.Millisecond), args).Outcome, turns.Unavailable)
	}
	log.SetFault(nil)
	time.Sleep(100 * time.Millisecond)
	is.Equal(begin(t, o, "t1", "", 300).Outcome, turns.Granted)
	is.Equal(begin(t, o, "t2", "", 300).Outcome, turns.Granted)
	is.Equal(begin(t, o, "t3", "", 300).Outcome, turns.Exhausted)
}

// TestStaleOwnerDoesNotGrant guards against a budget that is exceeded during a store outage
// by an owner with stale state: others may have granted tokens since. It grants what its last
// record preallocated, which others count as used, and nothing beyond.
func TestStaleOwnerDoesNotGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		for budget := 100; budget <= 2000; budget += 100 {
			log := storelog.NewMemory()
			second := newOwner(log, nil)
			first := newOwner(log, second)
			is.Equal(begin(t, first, "first0", "", budget).Outcome, turns.Granted)
			others := grantAll(t, budget, second)
			time.Sleep(5 * time.Second)
			log.SetFault(down)
			granted := 100
			for n := 1; begin(t, first, "first"+strconv.Itoa(n), "", budget).Outcome == turns.Granted; n++ {
				granted += 100
			}
			is.True(granted+others <= budget)
			is.True(granted <= 100+max(budget-100, 0)/3) // a lost owner leaves most of the budget
			is.True(granted <= 500)
			log.SetFault(nil)
			time.Sleep(time.Second)
			is.Equal(begin(t, first, "last", "", 10*budget).Outcome, turns.Granted)
		}
	})
}

// TestProgramContinuesInOutage guards against a program that is refused from the first second of an
// outage although its owner could have been allowed more turns before.
func TestProgramContinuesInOutage(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	o := newOwner(log, nil)
	is.Equal(begin(t, o, "t0", "", 2000).Outcome, turns.Granted)
	is.True(o.End(deadline(t, time.Second), ended("t0", "", 50)).Kept)
	log.SetFault(down)
	for n := range 4 {
		is.Equal(begin(t, o, "t"+strconv.Itoa(n+1), "", 2000).Outcome, turns.Granted)
	}
	is.Equal(o.Begin(deadline(t, 30*time.Millisecond), turns.BeginArgs{Account: "a", Program: "p", Turn: "t5", Budget: 2000,
		MaxTokens: 100, RetentionMS: 60_000}).Outcome, turns.Unavailable)
}

// TestSubAgentsBeginWithoutAppends guards against sub-agents that wait for the store one after the
// other while it is slow.
func TestSubAgentsBeginWithoutAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const slow = 240 * time.Millisecond
		log := &slowLog{Memory: storelog.NewMemory(), delay: slow}
		o := newOwner(log, nil)
		is.Equal(begin(t, o, "t0", "", 2000).Outcome, turns.Granted)
		is.True(o.End(deadline(t, time.Second), ended("t0", "", 50)).Kept)
		start := time.Now()
		for n := range 3 {
			is.Equal(begin(t, o, "agent"+strconv.Itoa(n), "t0", 2000).Outcome, turns.Granted)
		}
		is.True(time.Since(start) < slow)
	})
}
