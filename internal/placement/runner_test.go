package placement_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/placement"
	"cowslipgw/internal/upstream"
)

// TestMissingModelIsLoaded guards against a model with demand that stays without a
// replica, and against orders in the quiet time or a second one for the same need.
func TestMissingModelIsLoaded(t *testing.T) {
	run(t, true, func(w *world) {
		is := is.New(t)
		w.want(map[string]placement.Demand{"b": {Waiting: 1}})
		p := w.plan("10.0.0.1", 7)
		time.Sleep(quiet - time.Millisecond)
		is.Equal(w.orders(), 0)
		is.True(!p.runner.Replacing("r0"))
		time.Sleep(1500 * time.Millisecond)
		is.Equal(w.orders(), 1)
		is.True(p.runner.Replacing("r0")) // r0 gets no calls for a, which it may drop
		time.Sleep(4500 * time.Millisecond)
		is.Equal(w.orders(), 1)
		is.True(!p.runner.Replacing("r0"))
		is.Equal(w.engines[0].Load().Models, []string{"a", "b"})
		is.Equal(w.engines[0].Orders()[0].Fence>>24, uint64(7))
		time.Sleep(time.Minute)
		is.Equal(w.orders(), 1)
	}, "a", "a")
}

// TestDemandShifts guards against replicas that stay with a model when the demand has
// moved for good, and against moves for a demand that is over before a load is.
func TestDemandShifts(t *testing.T) {
	run(t, true, func(w *world) {
		is := is.New(t)
		calm := map[string]placement.Demand{"a": {Running: 4}, "b": {Running: 1}}
		shifted := map[string]placement.Demand{"a": {Running: 1}, "b": {Running: 4, Waiting: 8}}
		w.want(calm)
		w.plan("10.0.0.1", 7)
		time.Sleep(time.Minute)
		w.want(shifted)
		time.Sleep(3 * time.Second) // less than two load times
		w.want(calm)
		time.Sleep(time.Minute)
		is.Equal(w.orders(), 0)
		w.want(shifted)
		time.Sleep(time.Minute)
		is.Equal(w.ordered(3), []string{})
		is.True(w.orders() >= 1)
		is.True(w.store.Downloads("b") >= 1)
	}, "a", "a", "a", "b")
}

// TestReplicaLeavesOrFails guards against models that go with their replica, and
// against orders to a replica that leaves.
func TestReplicaLeavesOrFails(t *testing.T) {
	stops := map[string]func(w *world){
		"leaves by list":   func(w *world) { w.list.SetState("r0", "leaving") },
		"leaves by report": func(w *world) { w.engines[0].SetLeaving(true) },
		"fails":            func(w *world) { w.network.Kill("10.2.0.1") },
	}
	for name, stop := range stops {
		t.Run(name, func(t *testing.T) {
			run(t, true, func(w *world) {
				is := is.New(t)
				w.want(map[string]placement.Demand{"a": {Running: 1}, "b": {Running: 1}})
				w.plan("10.0.0.1", 7)
				time.Sleep(time.Minute)
				is.Equal(w.orders(), 0)
				stop(w)
				time.Sleep(20 * time.Second)
				is.Equal(w.orders(), 1)
				is.Equal(w.ordered(0), []string{})
				is.Equal(w.store.Downloads("b"), 1)
			}, "b", "a", "a")
		})
	}
}

// TestOldPlannerCannotInterfere guards against a host that was paused before it sent an
// order and believes to be the planner still: an engine must not follow it after the new
// planner. An engine that checks fencing numbers must refuse even an order that was
// paused in the write; towards others, the time limit of the order must hold it back.
func TestOldPlannerCannotInterfere(t *testing.T) {
	for _, checksFence := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks_fence %v", checksFence), func(t *testing.T) {
			run(t, checksFence, func(w *world) {
				is := is.New(t)
				old := w.plan("10.0.0.1", 7)
				time.Sleep(time.Minute)
				resume := old.pause()
				old.late = checksFence
				w.want(map[string]placement.Demand{"b": {Waiting: 1}})
				time.Sleep(time.Second)
				w.want(map[string]placement.Demand{"c": {Waiting: 1}})
				w.plan("10.0.0.2", 8)
				time.Sleep(30 * time.Second)
				is.Equal(w.ordered(0), []string{"c"})
				resume()
				time.Sleep(time.Minute)
				is.Equal(len(old.sent()), 1)
				want := context.DeadlineExceeded
				if checksFence {
					want = upstream.ErrOldFence
				}
				is.True(errors.Is(old.sent()[0], want))
				is.Equal(w.orders(), 1)
			}, "a")
		})
	}
}

// TestPausedPlannerWaitsAgain guards against a planner that was paused and goes on at
// once: another one may have planned in between and still send.
func TestPausedPlannerWaitsAgain(t *testing.T) {
	run(t, false, func(w *world) {
		is := is.New(t)
		p := w.plan("10.0.0.1", 7)
		time.Sleep(time.Minute)
		resume := p.pause()
		w.want(map[string]placement.Demand{"b": {Waiting: 1}})
		time.Sleep(5 * time.Second)
		resume()
		time.Sleep(quiet - time.Millisecond)
		is.Equal(w.orders(), 0)
		time.Sleep(5 * time.Second)
		is.Equal(w.ordered(0), []string{"b"})
	}, "a")
}

// TestWeightBudget guards against loads that start faster than the weight store sends:
// in any time t, one largest model more than rate * t.
func TestWeightBudget(t *testing.T) {
	run(t, true, func(w *world) {
		is := is.New(t)
		w.want(map[string]placement.Demand{"a": {Running: 1}, "b": {Waiting: 40}, "c": {Waiting: 40}})
		w.plan("10.0.0.1", 7)
		const step = 100 * time.Millisecond
		var starts []time.Time
		for range time.Minute / step {
			time.Sleep(step)
			for len(starts) < w.orders() {
				starts = append(starts, time.Now())
			}
		}
		is.True(len(starts) >= 5)
		for i := range starts {
			for j := i + 1; j < len(starts); j++ {
				within := starts[j].Sub(starts[i]) + step
				is.True(float64((j-i+1)*size) <= size+rate*within.Seconds())
			}
		}
	}, "a", "a", "a", "a", "a", "a")
}
