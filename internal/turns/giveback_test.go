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

// pause is longer than a program may pause while its owner keeps a preallocation.
const pause = time.Second

// TestPausedProgramLeavesNoPreallocation guards against a program that is told that its budget is spent
// because the owners of its turns were killed, one after the other, while it paused.
func TestPausedProgramLeavesNoPreallocation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := storelog.NewMemory()
		const budget = 1500
		for n := range 3 {
			owner := newOwner(log, nil)
			id := "u" + strconv.Itoa(n)
			is.Equal(begin(t, owner, id, "", budget).Outcome, turns.Granted)
			is.True(owner.End(deadline(t, time.Second), ended(id, "", 100)).Kept)
			time.Sleep(pause)
		}
		is.Equal(300+grantAll(t, budget, newOwner(log, nil)), budget)
		time.Sleep(pause)
	})
}

// TestProgramGoesOnAfterPause guards against a budget that is exceeded or left unused by a program that
// pauses, and against one whose open turn does not count after a pause.
func TestProgramGoesOnAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := storelog.NewMemory()
		const budget = 1500
		o := newOwner(log, nil)
		is.Equal(begin(t, o, "first", "", budget).Outcome, turns.Granted)
		is.Equal(begin(t, o, "open", "", budget).Outcome, turns.Granted) // no record is written
		is.True(o.End(deadline(t, time.Second), ended("first", "", 100)).Kept)
		time.Sleep(pause)
		is.Equal(200+grantAll(t, budget, newOwner(log, nil)), budget) // the open turn counts in full
		time.Sleep(pause)
	})
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const budget = 1500
		o := newOwner(storelog.NewMemory(), nil)
		for n := range 3 {
			is.Equal(begin(t, o, "u"+strconv.Itoa(n), "", budget).Outcome, turns.Granted)
			is.True(o.End(deadline(t, time.Second), ended("u"+strconv.Itoa(n), "", 100)).Kept)
			time.Sleep(pause)
		}
		is.Equal(300+grantAll(t, budget, o), budget)
		time.Sleep(pause)
	})
}

// TestPausedProgramKeepsPreallocationInOutage guards against a program that is refused in an outage of the
// store because its owner tried to give its preallocation back then.
func TestPausedProgramKeepsPreallocationInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := storelog.NewMemory()
		o := newOwner(log, nil)
		is.Equal(begin(t, o, "first", "", 2000).Outcome, turns.Granted)
		is.True(o.End(deadline(t, time.Second), ended("first", "", 50)).Kept)
		log.SetFault(down)
		time.Sleep(3 * time.Second)
		for n := range 4 {
			is.Equal(begin(t, o, "t"+strconv.Itoa(n), "", 2000).Outcome, turns.Granted)
		}
		log.SetFault(nil)
		time.Sleep(3 * pause)
		is.True(o.Idle())
		is.Equal(450+grantAll(t, 2000, newOwner(log, nil)), 1950) // 50 tokens are too few for a turn
		time.Sleep(pause)
	})
}

// TestPausingProgramsShareAppends guards against one append for each program that pauses.
func TestPausingProgramsShareAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &slowLog{Memory: storelog.NewMemory(), delay: 4 * time.Millisecond}
		o := newOwner(log, nil)
		for _, program := range samePartition(20) {
			is.Equal(o.Begin(deadline(t, time.Second), turns.BeginArgs{Account: "a", Program: program, Turn: program, Budget: 2000,
				MaxTokens: 100, RetentionMS: 60_000}).Outcome, turns.Granted)
		}
		before := log.appends.Load()
		time.Sleep(3 * pause)
		is.Equal(log.appends.Load()-before, int64(1))
	})
}
