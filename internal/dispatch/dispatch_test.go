package dispatch

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/structs"
)

// acquired is the result of an Acquire in the background.
type acquired struct {
	slot Slot
	err  error
}

func acquireLater(ctx context.Context, client *Client, r Request) <-chan acquired {
	done := make(chan acquired, 1)
	go func() {
		slot, err := client.Acquire(ctx, r)
		done <- acquired{slot, err}
	}()
	return done
}

// TestAcquireAcrossHosts guards against two hosts that both get the last slot, and
// against a release that does not let the next call start.
func TestAcquireAcrossHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2, 1, 1, DefaultLimits())
		first, err := f.clients[1].Acquire(t.Context(), request(1, 1))
		is.NoErr(err)
		is.Equal(first.Replica, structs.ReplicaID("r0"))
		is.Equal(first.Dispatcher, origin(0).Host)
		second := acquireLater(t.Context(), f.clients[0], request(0, 1))
		time.Sleep(2 * time.Second)
		select {
		case <-second:
			t.Fatal("two calls hold the only slot")
		default:
		}
		f.clients[1].Release(first, Result{Outcome: structs.OutcomeAnswered})
		got := <-second
		is.NoErr(got.err)
		is.True(got.slot.Ticket > first.Ticket) // later slots have higher fencing numbers
	})
}

// TestLocalChoiceAndNewOwner guards against a host that stalls without a
// dispatcher, and against a new dispatcher that does not count calls in flight.
func TestLocalChoiceAndNewOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, 1, 1, DefaultLimits())
		f.network.CutBoth(ip(0), ip(1))
		start := time.Now()
		slot, err := f.clients[1].Acquire(t.Context(), request(1, 1))
		is.NoErr(err)
		is.True(time.Since(start) <= 600*time.Millisecond) // 500 ms without an answer, then a local choice
		is.Equal(slot.Ticket, uint64(0))
		f.owners.set(address(2))
		time.Sleep(time.Second)
		waiting := acquireLater(t.Context(), f.clients[2], request(2, 1))
		time.Sleep(time.Second)
		select {
		case <-waiting:
			t.Fatal("the new dispatcher does not know the call in flight")
		default:
		}
		f.clients[1].Release(slot, Result{})
		is.NoErr((<-waiting).err)
	})
}

// TestQueueBound guards against a queue without bound and an untruthful refusal.
func TestQueueBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, 1, 1, Limits{Account: 2, Pool: 3, Wait: 3 * time.Second})
		_, err := f.clients[0].Acquire(t.Context(), request(0, 0))
		is.NoErr(err)
		first := acquireLater(t.Context(), f.clients[0], request(0, 1))
		acquireLater(t.Context(), f.clients[0], request(0, 2))
		synctest.Wait()
		_, err = f.clients[0].Acquire(t.Context(), request(0, 3))
		expectProblem(t, err, "queue-full")
		expectProblem(t, (<-first).err, "no-replica-in-time")
	})
}

func expectProblem(t *testing.T, err error, code string) {
	t.Helper()
	var problem *structs.Problem
	if !errors.As(err, &problem) || problem.Code != code || problem.Run != structs.RunNo {
		t.Fatalf("got %v, want problem %s with run: no", err, code)
	}
}

// TestCancel guards against a place in the queue that outlives its caller.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2, 1, 1, DefaultLimits())
		held, err := f.clients[0].Acquire(t.Context(), request(0, 0))
		is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		gone := acquireLater(ctx, f.clients[1], request(1, 1))
		synctest.Wait()
		cancel()
		is.True(errors.Is((<-gone).err, context.Canceled))
		next := acquireLater(t.Context(), f.clients[1], request(1, 2))
		time.Sleep(time.Second)
		f.clients[0].Release(held, Result{})
		is.NoErr((<-next).err)
	})
}

// TestLeavingReplica guards against new work for a replica that leaves.
func TestLeavingReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, 2, 4, DefaultLimits())
		f.directory.setState(0, "leaving")
		for i := range 4 {
			slot, err := f.clients[0].Acquire(t.Context(), request(0, i))
			is.NoErr(err)
			is.Equal(slot.Replica, structs.ReplicaID("r1"))
		}
	})
}

// TestRetain guards against slots that stay taken after their host is gone, and
// against freeing those of a host that joined after the view.
func TestRetain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, 1, 2, DefaultLimits())
		_, err := f.clients[1].Acquire(t.Context(), request(1, 1))
		is.NoErr(err)
		_, err = f.clients[2].Acquire(t.Context(), request(2, 1))
		is.NoErr(err)
		f.services[0].ViewChanged(2, map[structs.HostID]structs.Incarnation{"h0": 1})
		_, err = f.clients[0].Acquire(t.Context(), request(0, 1))
		is.NoErr(err) // the slot of h1 is free; h2 has incarnation 3, which view 2 cannot know
		next := acquireLater(t.Context(), f.clients[0], request(0, 2))
		time.Sleep(time.Second)
		select {
		case <-next:
			t.Fatal("the slot of a host that joined later was freed")
		default:
		}
	})
}

// TestLostRelease guards against a slot that stays taken for ever when its release
// is lost.
func TestLostRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2, 1, 1, DefaultLimits())
		slot, err := f.clients[1].Acquire(t.Context(), request(1, 1))
		is.NoErr(err)
		time.Sleep(time.Second)
		address := f.owners.address
		f.owners.set("")
		f.clients[1].Release(slot, Result{}) // no owner is known, so it is not sent
		f.owners.set(address)
		next, err := f.clients[0].Acquire(t.Context(), request(0, 1))
		is.NoErr(err)
		is.Equal(next.Replica, structs.ReplicaID("r0"))
	})
}

// TestLocalChoiceByCache guards against a local choice that drops a program's cache,
// and against one that overloads the replica that holds it.
func TestLocalChoiceByCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, 4, 2, DefaultLimits())
		f.owners.set("")
		counts := make(map[structs.ReplicaID]int)
		for i := range 8 {
			r := request(0, i)
			r.Holders = []structs.ReplicaID{"r2"}
			slot, err := f.clients[0].Acquire(t.Context(), r)
			is.NoErr(err)
			counts[slot.Replica]++
			if i == 1 {
				is.Equal(counts["r2"], 2)
			}
		}
		is.True(counts["r2"] < 8)
	})
}

// TestEveryReplicaExcluded guards against a failed call that waits for a replica which
// it must not get, until its caller's time is over.
func TestEveryReplicaExcluded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, 2, 4, DefaultLimits())
		failed := request(0, 0)
		failed.Exclude = []structs.ReplicaID{"r0", "r1"}
		start := time.Now()
		_, err := f.clients[0].Acquire(t.Context(), failed)
		var problem *structs.Problem
		is.True(errors.As(err, &problem))
		is.Equal(problem.Code, "no-replica")
		is.True(time.Since(start) < time.Second)
	})
}
