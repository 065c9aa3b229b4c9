package turns_test

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/storelog"
	"cowslipgw/internal/turns"
)

// TestGrantSettledElsewhereCountsOnce guards against a budget that runs out early because a turn counts twice: by
// its settlement at the new owner, and within the preallocation of the lost owner that granted it.
func TestGrantSettledElsewhereCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := storelog.NewMemory()
		const budget = 1500
		first := newOwner(log, nil)
		is.Equal(begin(t, first, "u0", "", budget).Outcome, turns.Granted)
		is.True(first.End(deadline(t, time.Second), ended("u0", "", 100)).Kept)
		second := newOwner(log, nil)
		for _, id := range []string{"u1", "u2", "u3", "u4"} { // all that the first owner has preallocated
			reply := begin(t, first, id, "", budget)
			is.Equal(reply.Outcome, turns.Granted)
			settlement := closed(id, 100)
			settlement.Granter, settlement.Reserved = reply.Granter, 100
			is.True(second.End(deadline(t, time.Second), settlement).Kept)
		}
		is.Equal(500+grantAll(t, budget, second), budget)
		time.Sleep(pause)
	})
}

// TestOwnerLearnsOfGrantsSettledElsewhere guards against a budget that is exceeded because an owner uses a
// preallocation again after another one has settled the turns that were granted from it.
func TestOwnerLearnsOfGrantsSettledElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := storelog.NewMemory()
		const budget = 1500
		first, second := newOwner(log, nil), newOwner(log, nil)
		is.Equal(begin(t, first, "u0", "", budget).Outcome, turns.Granted)
		is.True(first.End(deadline(t, time.Second), ended("u0", "", 100)).Kept)
		reply := begin(t, first, "u1", "", budget)
		settlement := closed("u1", 100)
		settlement.Granter, settlement.Reserved = reply.Granter, 100
		is.True(second.End(deadline(t, time.Second), settlement).Kept)
		// The search for a parent makes the first owner read the settlement.
		is.Equal(begin(t, first, "v", "unknown", budget).Outcome, turns.UnknownParent)
		for n := range 4 {
			is.Equal(begin(t, first, "v"+strconv.Itoa(n), "", budget).Outcome, turns.Granted)
		}
		granted := 600 + grantAll(t, budget, second)
		is.True(granted <= budget)
		time.Sleep(pause)
	})
}
