package turns_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/event"
	"cowslipgw/internal/storelog"
	"cowslipgw/internal/turns"
)

// drain makes an owner shut down in a minute.
func drain(o *turns.Owner) {
	turns.NewService(o, func(int) bool { return true }, event.Discard()).Drain(time.Now().Add(time.Minute))
}

// TestStoppedOwnerLeavesNoPreallocation guards against a program that is told that its budget is spent
// because the owners of its turns were stopped, as planned, while it paused.
func TestStoppedOwnerLeavesNoPreallocation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := storelog.NewMemory()
		const budget = 1200
		for n := range 2 {
			owner := newOwner(log, nil)
			id := "u" + strconv.Itoa(n)
			is.Equal(begin(t, owner, id, "", budget).Outcome, turns.Granted)
			is.True(owner.End(deadline(t, time.Second), ended(id, "", 100)).Kept)
			drain(owner)
			synctest.Wait()
			is.True(owner.Idle())
		}
		is.Equal(200+grantAll(t, budget, newOwner(log, nil)), budget)
	})
}

// TestTurnsOfStoppingOwnerCountOnce covers a turn that was granted without a record and ends while its
// owner shuts down, and one that begins there.
func TestTurnsOfStoppingOwnerCountOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := storelog.NewMemory()
		const budget = 1200
		first := newOwner(log, nil)
		is.Equal(begin(t, first, "first", "", budget).Outcome, turns.Granted)
		is.True(first.End(deadline(t, time.Second), ended("first", "", 100)).Kept)
		for _, id := range []string{"open1", "open2", "open3"} {
			is.Equal(begin(t, first, id, "", budget).Outcome, turns.Granted)
		}
		drain(first)
		synctest.Wait()
		// The open turns count in full.
		is.True(400+grantAll(t, budget, newOwner(log, nil)) <= budget)
		go first.End(context.Background(), closed("open2", 100))
		is.True(first.End(deadline(t, time.Second), closed("open1", 100)).Kept)
		is.True(first.End(deadline(t, time.Second), closed("open3", 100)).Kept)
		synctest.Wait()
		is.True(first.Idle())
		time.Sleep(time.Second)
	})
}

// TestBudgetLeftByStoppedOwner guards against tokens that stay counted after all turns of a stopped
// owner have ended, and against a budget that is exceeded because they do not count meanwhile.
func TestBudgetLeftByStoppedOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := storelog.NewMemory()
		const budget = 1500
		first := newOwner(log, nil)
		is.Equal(begin(t, first, "first", "", budget).Outcome, turns.Granted)
		is.Equal(begin(t, first, "open1", "", budget).Outcome, turns.Granted)
		is.Equal(begin(t, first, "open2", "", budget).Outcome, turns.Granted)
		drain(first)
		synctest.Wait()
		is.Equal(begin(t, first, "late", "", budget).Outcome, turns.Granted)
		for _, id := range []string{"first", "open1", "open2", "late"} {
			go first.End(context.Background(), closed(id, 100))
		}
		synctest.Wait()
		is.True(first.Idle())
		is.Equal(400+grantAll(t, budget, newOwner(log, nil)), budget)
	})
}

// TestStopWaitsForNoRelease guards against a planned stop that waits for the store although no turn
// depends on it.
func TestStopWaitsForNoRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := storelog.NewMemory()
		owner := newOwner(log, nil)
		is.Equal(begin(t, owner, "first", "", 1200).Outcome, turns.Granted)
		is.True(owner.End(deadline(t, time.Second), ended("first", "", 100)).Kept)
		log.SetFault(down)
		drain(owner)
		synctest.Wait()
		is.True(owner.Idle())
		log.SetFault(nil)
		time.Sleep(time.Second)
		is.Equal(100+grantAll(t, 1200, newOwner(log, nil)), 1200)
	})
}
