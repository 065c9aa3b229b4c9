package turns_test

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/storelog"
	"cowslipgw/internal/turns"
)

// branchHost runs turns as a host does. Hosts of earlier builds ignore Detached.
type branchHost struct {
	owner   *turns.Owner
	earlier bool
}

// run begins and ends a turn, and returns the history that the engine got.
func (h branchHost) run(t *testing.T, program, id, parent string) string {
	t.Helper()
	reply := h.owner.Begin(deadline(t, time.Second), turns.BeginArgs{Account: "a", Program: program, Turn: id, Parent: parent,
		MaxTokens: 100, RetentionMS: 60_000})
	if reply.Outcome != turns.Granted {
		t.Fatalf("turn %s of program %s: outcome %d", id, program, reply.Outcome)
	}
	turn := ended(id, parent, 10)
	turn.Program = program
	if reply.Detached && !h.earlier {
		turn.Parent, turn.Input = "", append(append([]byte(nil), reply.Chain...), turn.Input...)
	}
	if !h.owner.End(deadline(t, time.Second), turn).Kept {
		t.Fatalf("turn %s was not stored", id)
	}
	return string(reply.Chain)
}

// TestHistoryOutlivesItsFirstProgram guards against a history that is lost when the program in which
// it began expires, while lines and forks of it go on in other programs of the same partition.
func TestHistoryOutlivesItsFirstProgram(t *testing.T) {
	for _, earlier := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			log := storelog.NewMemory()
			o := newSwitchedOwner(ctx, log, true)
			h := branchHost{o.Owner, earlier}
			programs := samePartition(5)
			is.Equal(h.run(t, programs[0], "t0", ""), "")
			// Each program continues the last turn of the one before, and the second one forks.
			for n := 1; n < len(programs); n++ {
				time.Sleep(50 * time.Second)
				is.Equal(h.run(t, programs[n], "t"+strconv.Itoa(n), "t"+strconv.Itoa(n-1)), chainOf(n))
			}
			time.Sleep(50 * time.Second)
			is.Equal(h.run(t, programs[4], "line", "t4"), chainOf(5))
			is.Equal(h.run(t, programs[2], "fork", "t4"), chainOf(5))
			fresh := branchHost{newOwner(log, nil), earlier}
			is.Equal(fresh.run(t, programs[3], "afterwards", "t4"), chainOf(5))
			// Once the last program has expired, nothing is left.
			time.Sleep(3 * time.Minute)
			page, err := log.Newest(ctx, storelog.Partition{Topic: "turns0"}, "")
			is.NoErr(err)
			is.Equal(len(page.Records), 0)
			cancel()
		})
	}
}

// TestTurnUnderWayKeepsItsHistory guards against a turn that is answered completely although the
// turns that it continues were removed while it ran.
func TestTurnUnderWayKeepsItsHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		o := newSwitchedOwner(ctx, storelog.NewMemory(), true)
		continueProgram(t, o, 0, 0)
		time.Sleep(74 * time.Second)
		is.Equal(begin(t, o.Owner, "t1", "t0", 0).Outcome, turns.Granted)
		time.Sleep(20 * time.Second)
		is.True(o.End(deadline(t, time.Second), ended("t1", "t0", 10)).Kept)
		is.Equal(string(begin(t, o.Owner, "t2", "t1", 0).Chain), chainOf(2))
		// A turn that may be removed before another one ends is not continued.
		time.Sleep(80 * time.Second)
		is.Equal(begin(t, o.Owner, "t3", "t1", 0).Outcome, turns.UnknownParent)
		cancel()
	})
}
