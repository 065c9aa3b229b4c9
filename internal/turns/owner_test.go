package turns_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/storelog"
	"cowslipgw/internal/turns"
)

// TestChainOfTurns guards against inputs and outputs that reach an engine in the wrong
// order or twice.
func TestChainOfTurns(t *testing.T) {
	is := is.New(t)
	o := newOwner(storelog.NewMemory(), nil)
	is.Equal(begin(t, o, "t1", "", 0).Outcome, turns.Granted)
	is.True(o.End(deadline(t, time.Second), ended("t1", "", 10)).Kept)
	is.Equal(begin(t, o, "t2", "t1", 0).Outcome, turns.Granted)
	is.True(o.End(deadline(t, time.Second), ended("t2", "t1", 10)).Kept)
	reply := begin(t, o, "t3", "t2", 0)
	is.Equal(reply.Outcome, turns.Granted)
	is.Equal(string(reply.Chain), "in-t1;out-t1\nin-t2;out-t2\n")
}

// TestAnotherOwnerContinues guards against the loss of history when a program moves to
// another owner whose state is stale.
func TestAnotherOwnerContinues(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	first, second := newOwner(log, nil), newOwner(log, nil)
	// This loads the partition at second. The next write of first makes that state stale.
	is.Equal(begin(t, second, "t0", "", 0).Outcome, turns.Granted)
	is.True(first.End(deadline(t, time.Second), ended("t1", "", 10)).Kept)
	is.Equal(string(begin(t, second, "t2", "t1", 0).Chain), "in-t1;out-t1\n")
}

// TestStaleOwnerDoesNotDeny guards against a 404 for a turn that another owner has stored
// while this one cannot read the store.
func TestStaleOwnerDoesNotDeny(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	first, second := newOwner(log, nil), newOwner(log, nil)
	is.Equal(begin(t, second, "t0", "", 0).Outcome, turns.Granted)
	is.True(first.End(deadline(t, time.Second), ended("t1", "", 10)).Kept)
	log.SetFault(down)
	is.Equal(begin(t, second, "t2", "t1", 0).Outcome, turns.Unavailable)
	located := second.Locate(deadline(t, time.Second), turns.LocateArgs{Account: "a", Turn: "t1"}, func(int) bool { return true })
	is.Equal(located.Certain, uint64(0))
}

// TestTurnsAreKeptByTheStoreAlone guards against answers that look complete although their
// turn is held only in the memory of hosts and would be lost with them.
func TestTurnsAreKeptByTheStoreAlone(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	backup := newOwner(log, nil)
	first := newOwner(log, backup)
	is.Equal(begin(t, first, "t0", "", 0).Outcome, turns.Granted)
	log.SetFault(down)
	is.True(!first.End(deadline(t, 300*time.Millisecond), ended("t1", "", 10)).Kept)
	log.SetFault(nil)
	is.True(first.End(deadline(t, time.Second), ended("t1", "", 10)).Kept)
	is.Equal(begin(t, backup, "t2", "t1", 0).Outcome, turns.Granted)
}

// TestLoadOutlivesItsCallers guards against loads that start over for each caller that
// times out. Reads of the store are that slow when a large fleet starts.
func TestLoadOutlivesItsCallers(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	is.True(newOwner(log, nil).End(deadline(t, time.Second), ended("t1", "", 10)).Kept)
	loads := make(chan struct{}, 100)
	log.SetFault(func(call string, _ storelog.Partition) (error, bool) {
		if call == "newest" {
			loads <- struct{}{}
			time.Sleep(300 * time.Millisecond)
		}
		return nil, false
	})
	slow := newOwner(log, nil)
	args := turns.BeginArgs{Account: "a", Program: "p", Turn: "t2", Parent: "t1", MaxTokens: 100}
	for range 3 {
		is.Equal(slow.Begin(deadline(t, 50*time.Millisecond), args).Outcome, turns.Unavailable)
	}
	time.Sleep(400 * time.Millisecond)
	is.Equal(slow.Begin(deadline(t, 50*time.Millisecond), args).Outcome, turns.Granted)
	is.Equal(len(loads), 1)
}
