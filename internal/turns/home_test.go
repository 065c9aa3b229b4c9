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
