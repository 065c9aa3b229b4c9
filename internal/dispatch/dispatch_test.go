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

// acquired is the result of an Acquire that runs in the background.
type acquired struct {
	slot Slot
	err  error
}

func acquireAsync(ctx context.Context, client *Client, r Request) <-chan acquired {
	done := make(chan acquired, 1)
	go func() {
		slot, err := client.Acquire(ctx, r)
		done <- acquired{slot, err}
	}()
	return done
}

// TestAcquireAcrossHosts guards against granting the last slot to two hosts, and
// against a release that does not start the next waiting call.
func TestAcquireAcrossHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2, 1, 1, DefaultLimits())
		first, err := f.clients[1].Acquire(t.Context(), request(1, 1))
		is.NoErr(err)
		is.Equal(first.Replica, structs.ReplicaID("r0"))
		is.Equal(first.Dispatcher, origin(0).Host)
		second := acquireAsync(t.Context(), f.clients[0], request(0, 1))
		time.Sleep(2 * time.Second)
		select {
		case <-second:
			t.Fatal("two calls were granted the only slot")
		default:
		}
		f.clients[1].Release(first, Result{Outcome: structs.OutcomeAnswered})
		got := <-second
		is.NoErr(got.err)
		is.True(got.slot.Ticket > first.Ticket) // later slots have higher fencing tokens
	})
}

// TestLocalChoiceAndNewOwner guards against a host that blocks when it can't reach
// the dispatcher, and against a new dispatcher that ignores the calls already in
// flight.
func TestLocalChoiceAndNewOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, 1, 1, DefaultLimits())
		f.network.CutBoth(ip(0), ip(1))
		start := time.Now()
		slot, err := f.clients[1].Acquire(t.Context(), request(1, 1))
		is.NoErr(err)
		is.True(time.Since(start) <= 600*time.Millisecond) // 500 ms timeout, then a local choice
		is.Equal(slot.Ticket, uint64(0))
		f.owners.set(address(2))
		time.Sleep(time.Second)
		waiting := acquireAsync(t.Context(), f.clients[2], request(2, 1))
		time.Sleep(time.Second)
		select {
		case <-waiting:
			t.Fatal("the new dispatcher does not count the call in flight")
		default:
		}
		f.clients[1].Release(slot, Result{})
		is.NoErr((<-waiting).err)
	})
}

// TestQueueBound guards against an unbounded queue and against wrong refusal codes.
func TestQueueBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1, 1, 1, Limits{Account: 2, Pool: 3, Wait: 3 * time.Second})
		_, err := f.clients[0].Acquire(t.Context(), request(0, 0))
		is.NoErr(err)
		first := acquireAsync(t.Context(), f.clients[0], request(0, 1))
		acquireAsync(t.Context(), f.clients[0], request(0, 2))
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

// TestCancel guards against a queue entry that outlives its caller.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2, 1, 1, DefaultLimits())
		held, err := f.clients[0].Acquire(t.Context(), request(0, 0))
		is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		canceled := acquireAsync(ctx, f.clients[1], request(1, 1))
		synctest.Wait()
		cancel()
		is.True(errors.Is((<-canceled).err, context.Canceled))
		next := acquireAsync(t.Context(), f.clients[1], request(1, 2))
		time.Sleep(time.Second)
		f.clients[0].Release(held, Result{})
		is.NoErr((<-next).err)
	})
}

// TestLeavingReplica guards against new calls on a replica that is leaving.
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

// TestRetain guards against slots that stay occupied after their host has left the
// view, and against freeing those of a host that joined in a later view.
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
		is.NoErr(err) // the slot of h1 is free; h2 has incarnation 3, which is later than view 2
		next := acquireAsync(t.Context(), f.clients[0], request(0, 2))
		time.Sleep(time.Second)
		select {
		case <-next:
			t.Fatal("the slot of a host that joined in a later view was freed")
		default:
		}
	})
}

// TestLostRelease guards against a slot that stays occupied forever after its
// release was lost.
func TestLostRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2, 1, 1, DefaultLimits())
		slot, err := f.clients[1].Acquire(t.Context(), request(1, 1))
		is.NoErr(err)
		time.Sleep(time.Second)
		address := f.owners.address
		f.owners.set("")
		f.clients[1].Release(slot, Result{}) // not sent, because no owner is known
		f.owners.set(address)
		next, err := f.clients[0].Acquire(t.Context(), request(0, 1))
		is.NoErr(err)
		is.Equal(next.Replica, structs.ReplicaID("r0"))
	})
}

// TestLocalChoiceByCache guards against a local choice that ignores a program's
// cache, and against one that overloads the replica with the cache.
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

// TestEveryReplicaExcluded guards against a failed call that waits until its
// deadline although every replica is excluded.
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
