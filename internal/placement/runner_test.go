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

// TestMissingModelIsLoaded guards against a model that has demand and stays without
// a replica, against orders during the takeover delay, and against a second order
// for the same model.
func TestMissingModelIsLoaded(t *testing.T) {
	runPool(t, true, func(pool *testPool) {
		is := is.New(t)
		pool.setDemand(map[string]placement.Demand{"b": {Waiting: 1}})
		p := pool.startPlanner("10.0.0.1", 7)
		time.Sleep(takeoverDelay - time.Millisecond)
		is.Equal(pool.orderCount(), 0)
		is.True(!p.runner.Replacing("r0"))
		time.Sleep(1500 * time.Millisecond)
		is.Equal(pool.orderCount(), 1)
		is.True(p.runner.Replacing("r0")) // r0 gets no calls for model a, which it may drop
		time.Sleep(4500 * time.Millisecond)
		is.Equal(pool.orderCount(), 1)
		is.True(!p.runner.Replacing("r0"))
		is.Equal(pool.engines[0].Load().Models, []string{"a", "b"})
		is.Equal(pool.engines[0].Orders()[0].Fence>>24, uint64(7))
		time.Sleep(time.Minute)
		is.Equal(pool.orderCount(), 1)
	}, "a", "a")
}

// TestDemandShifts guards against replicas that keep a model after the demand has
// shifted for good, and against moves for a burst of demand that is shorter than a
// load.
func TestDemandShifts(t *testing.T) {
	runPool(t, true, func(pool *testPool) {
		is := is.New(t)
		calm := map[string]placement.Demand{"a": {Running: 4}, "b": {Running: 1}}
		shifted := map[string]placement.Demand{"a": {Running: 1}, "b": {Running: 4, Waiting: 8}}
		pool.setDemand(calm)
		pool.startPlanner("10.0.0.1", 7)
		time.Sleep(time.Minute)
		pool.setDemand(shifted)
		time.Sleep(3 * time.Second) // less than two load times
		pool.setDemand(calm)
		time.Sleep(time.Minute)
		is.Equal(pool.orderCount(), 0)
		pool.setDemand(shifted)
		time.Sleep(time.Minute)
		is.Equal(pool.orderedModels(3), []string{})
		is.True(pool.orderCount() >= 1)
		is.True(pool.store.Downloads("b") >= 1)
	}, "a", "a", "a", "b")
}

// TestReplicaLeavesOrFails guards against models that stay without a replica after
// theirs has left or failed, and against orders to a replica that is leaving.
func TestReplicaLeavesOrFails(t *testing.T) {
	stops := map[string]func(pool *testPool){
		"leaves by list":   func(pool *testPool) { pool.list.SetState("r0", "leaving") },
		"leaves by report": func(pool *testPool) { pool.engines[0].SetLeaving(true) },
		"fails":            func(pool *testPool) { pool.network.Kill("10.2.0.1") },
	}
	for name, stop := range stops {
		t.Run(name, func(t *testing.T) {
			runPool(t, true, func(pool *testPool) {
				is := is.New(t)
				pool.setDemand(map[string]placement.Demand{"a": {Running: 1}, "b": {Running: 1}})
				pool.startPlanner("10.0.0.1", 7)
				time.Sleep(time.Minute)
				is.Equal(pool.orderCount(), 0)
				stop(pool)
				time.Sleep(20 * time.Second)
				is.Equal(pool.orderCount(), 1)
				is.Equal(pool.orderedModels(0), []string{})
				is.Equal(pool.store.Downloads("b"), 1)
			}, "b", "a", "a")
		})
	}
}

// TestOldPlannerCannotInterfere guards against an old planner that was paused before
// sending an order and still considers itself the planner: an engine must not follow
// its order after one from the new planner. An engine that checks fencing tokens
// must refuse the order even if the pause was in the middle of the write. For other
// engines, the deadline of the order must prevent it from being sent.
func TestOldPlannerCannotInterfere(t *testing.T) {
	for _, checksFence := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks_fence %v", checksFence), func(t *testing.T) {
			runPool(t, checksFence, func(pool *testPool) {
				is := is.New(t)
				old := pool.startPlanner("10.0.0.1", 7)
				time.Sleep(time.Minute)
				resume := old.pause()
				old.ignoreDeadline = checksFence
				pool.setDemand(map[string]placement.Demand{"b": {Waiting: 1}})
				time.Sleep(time.Second)
				pool.setDemand(map[string]placement.Demand{"c": {Waiting: 1}})
				pool.startPlanner("10.0.0.2", 8)
				time.Sleep(30 * time.Second)
				is.Equal(pool.orderedModels(0), []string{"c"})
				resume()
				time.Sleep(time.Minute)
				is.Equal(len(old.orderErrors()), 1)
				want := context.DeadlineExceeded
				if checksFence {
					want = upstream.ErrStaleFence
				}
				is.True(errors.Is(old.orderErrors()[0], want))
				is.Equal(pool.orderCount(), 1)
			}, "a")
		})
	}
}

// TestPausedPlannerWaitsAgain guards against a planner that resumes after a pause
// without a new takeover delay: another host may have been the planner in between
// and may still be sending orders.
func TestPausedPlannerWaitsAgain(t *testing.T) {
	runPool(t, false, func(pool *testPool) {
		is := is.New(t)
		p := pool.startPlanner("10.0.0.1", 7)
		time.Sleep(time.Minute)
		resume := p.pause()
		pool.setDemand(map[string]placement.Demand{"b": {Waiting: 1}})
		time.Sleep(5 * time.Second)
		resume()
		time.Sleep(takeoverDelay - time.Millisecond)
		is.Equal(pool.orderCount(), 0)
		time.Sleep(5 * time.Second)
		is.Equal(pool.orderedModels(0), []string{"b"})
	}, "a")
}

// TestWeightBudget guards against loads that start faster than the weight store can
// send. In any time window t, the loads must not exceed the largest model's size
// plus rate * t.
func TestWeightBudget(t *testing.T) {
	runPool(t, true, func(pool *testPool) {
		is := is.New(t)
		pool.setDemand(map[string]placement.Demand{"a": {Running: 1}, "b": {Waiting: 40}, "c": {Waiting: 40}})
		pool.startPlanner("10.0.0.1", 7)
		const step = 100 * time.Millisecond
		var starts []time.Time
		for range time.Minute / step {
			time.Sleep(step)
			for len(starts) < pool.orderCount() {
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
