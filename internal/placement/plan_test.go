package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cowslipgw/internal/structs"
)

// now is any time; a load takes 1 s in the snapshots of these tests.
var now = time.Unix(1_000_000, 0)

// pool returns a snapshot of ready replicas with 4 slots, each with the models given.
func pool(demand map[string]Demand, replicas ...[]string) Snapshot {
	s := Snapshot{Demand: demand, Budget: 100, Rate: 1, Fence: 7 << fenceBits, Settings: Settings{ModelBytes: 1}}
	for _, name := range []string{"a", "b", "c"} {
		s.Models = append(s.Models, Model{Name: name})
	}
	for i, models := range replicas {
		id := fmt.Sprintf("r%02d", i)
		s.Replicas = append(s.Replicas, Replica{
			ID: structs.ReplicaID(id), Address: id, Live: true, Ready: true, Models: models, Slots: 4,
		})
	}
	return s
}

func only(names ...string) []string { return append([]string{}, names...) }

// given returns the orders as "replica:model".
func given(orders []Order) []string {
	texts := []string{}
	for _, order := range orders {
		texts = append(texts, string(order.Replica)+":"+order.model())
	}
	return texts
}

// lasting says that all models gained long enough.
func lasting(s Snapshot) Snapshot {
	s.Gaining = map[string]time.Time{"a": now.Add(-persistLoads * time.Second), "b": now.Add(-persistLoads * time.Second)}
	return s
}

// TestPlan guards against models left without a replica, against moves that gain too
// little and against orders to replicas that must get none.
func TestPlan(t *testing.T) {
	busy := map[string]Demand{"a": {Running: 1}, "b": {Waiting: 8}}
	even := map[string]Demand{"a": {Running: 8}, "b": {Running: 8}}
	change := func(s Snapshot, i int, f func(*Replica)) Snapshot {
		f(&s.Replicas[i])
		return s
	}
	cases := []struct {
		name string
		s    Snapshot
		want []string
	}{
		{"missing model", pool(map[string]Demand{"b": {Waiting: 1}}, only("a"), only("a")), only("r00:b")},
		{"missing by rate only", pool(map[string]Demand{"b": {TokensPerSecond: 1}}, only("a"), only("a")), only("r00:b")},
		{"no demand, no replica needed", pool(nil, only("a"), only("a")), only()},
		{"only replica of a used model is kept", pool(busy, only("a")), only()},
		{"spare of an idle model is preferred", pool(busy, only("a"), only("a"), only("c")), only("r02:b")},
		{"demand shifts", lasting(pool(busy, only("a"), only("a"), only("b"))), only("r00:b")},
		{"gain did not last", pool(busy, only("a"), only("a"), only("b")), only()},
		{"gain too small", lasting(pool(even, only("a"), only("a"), only("b"))), only()},
		{"shares follow demand", lasting(pool(even, only("a"), only("a"), only("b"), only("a"))), only("r00:b")},
		{"slots mostly free", lasting(pool(map[string]Demand{"b": {Running: 1}}, only("b"), only("a"))), only()},
		{"leaving or failed", change(pool(busy, only("a"), only("a"), only("c")), 2, func(r *Replica) { r.Live = false }), only("r00:b")},
		{"holder failed", change(pool(busy, only("a"), only("a"), only("b")), 2, func(r *Replica) { r.Live = false }), only("r00:b")},
		{"not ready", change(pool(busy, only("a"), only("c")), 1, func(r *Replica) { r.Ready = false }), only()},
		{"loads already", change(pool(busy, only("a"), only("a"), only("a")), 2, func(r *Replica) { r.Loading = "b" }), only()},
		{"models not known", pool(busy, nil, nil), only()},
		{"loaded lately", change(lasting(pool(busy, only("a"), only("a"), only("b"))), 0, func(r *Replica) { r.Ordered = now.Add(-time.Second) }), only("r01:b")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(given(Plan(c.s, now)), c.want)
		})
	}
}

// TestBudgetOfPlan guards against orders beyond the weight store's rate, and against a
// small model that takes the budget that a larger demand waits for.
func TestBudgetOfPlan(t *testing.T) {
	is := is.New(t)
	s := pool(map[string]Demand{"b": {Waiting: 9}, "c": {Waiting: 1}}, only("a"), only("a"), only("a"))
	s.Settings.Sizes = map[string]int64{"b": 10}
	s.Budget = 11
	is.Equal(given(Plan(s, now)), only("r00:b", "r01:c"))
	s.Budget = 10
	is.Equal(given(Plan(s, now)), only("r00:b"))
	s.Budget = 9
	is.Equal(given(Plan(s, now)), only())
}

// TestPlanSettles guards against plans that move replicas for ever under a constant
// demand, rob a used model of its last replica, order twice at one replica or exceed
// the budget.
func TestPlanSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := make(map[string]Demand)
		for _, name := range []string{"a", "b", "c"} {
			demand[name] = Demand{Running: rapid.IntRange(0, 40).Draw(t, name)}
		}
		s := pool(demand)
		for i := range rapid.IntRange(3, 12).Draw(t, "replicas") {
			model := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "model")
			s.Replicas = append(s.Replicas, Replica{
				ID: structs.ReplicaID(fmt.Sprintf("r%02d", i)), Live: true, Ready: true, Models: only(model),
				Slots: rapid.IntRange(1, 16).Draw(t, "slots"),
			})
		}
		s.Budget = int64(rapid.IntRange(1, 3).Draw(t, "budget"))
		// Each model gets at most one replica more in each round, and each replica can be
		// moved between any two models a few times while the others settle.
		for range 100 {
			orders := Plan(lasting(s), now)
			if int64(len(orders)) > s.Budget {
				t.Fatalf("%d orders with a budget of %d", len(orders), s.Budget)
			}
			if len(orders) == 0 {
				break
			}
			apply(t, s, orders)
		}
		if left := Plan(lasting(s), now); len(left) > 0 {
			t.Fatalf("still moves %v", given(left))
		}
		if missing := Missing(s); len(missing) > 0 {
			t.Fatalf("%d replicas, and %v have none", len(s.Replicas), missing)
		}
	})
}

// apply loads what was ordered, in place of what the replica had.
func apply(t *rapid.T, s Snapshot, orders []Order) {
	before := newTally(s)
	seen := make(map[structs.ReplicaID]bool)
	for _, order := range orders {
		if seen[order.Replica] {
			t.Fatalf("two orders at %s", order.Replica)
		}
		seen[order.Replica] = true
		i := slices.IndexFunc(s.Replicas, func(r Replica) bool { return r.ID == order.Replica })
		s.Replicas[i].Models = only(order.model())
	}
	after := newTally(s)
	for name, work := range before.work {
		if work > 0 && before.holders[name] > 0 && after.holders[name] == 0 {
			t.Fatalf("%s has no replica after %v", name, given(orders))
		}
	}
}

// TestMoveCost guards against transfers that take longer than computing again, that
// end after the old replica, or that rest on figures nobody measured.
func TestMoveCost(t *testing.T) {
	measured := KVCosts{Export: time.Microsecond, Import: time.Microsecond, Setup: 10 * time.Millisecond, PrefillRate: 20_000}
	with := func(f func(*KVCosts)) KVCosts {
		c := measured
		f(&c)
		return c
	}
	cases := []struct {
		name   string
		tokens int64
		costs  KVCosts
		want   Move
		time   time.Duration
	}{
		{"long history", 100_000, measured, Transfer, 210 * time.Millisecond},
		{"short history", 200, measured, Recompute, 10 * time.Millisecond},
		{"backlog makes a transfer worthwhile", 200, with(func(c *KVCosts) { c.Backlog = 1000 }), Transfer, 10400 * time.Microsecond},
		{"costly transfer", 100_000, with(func(c *KVCosts) { c.Import = 50 * time.Microsecond }), Recompute, 5 * time.Second},
		{"old replica stops before the export ends", 100_000, with(func(c *KVCosts) { c.Window = 100 * time.Millisecond }), Recompute, 5 * time.Second},
		{"old replica stays long enough", 100_000, with(func(c *KVCosts) { c.Window = 110 * time.Millisecond }), Transfer, 210 * time.Millisecond},
		{"transfer not measured", 100_000, with(func(c *KVCosts) { c.Export = 0 }), Recompute, 5 * time.Second},
		{"prefill not measured", 100_000, with(func(c *KVCosts) { c.PrefillRate = 0 }), Recompute, 0},
		{"nothing cached", 0, measured, Recompute, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			move, took := MoveCost(c.tokens, c.costs)
			is.Equal(move, c.want)
			is.Equal(took, c.time)
		})
	}
}

// BenchmarkPlan measures one step of the largest pool without cells: 64 replicas and
// the 25 models of the target scale.
func BenchmarkPlan(b *testing.B) {
	s := pool(make(map[string]Demand))
	for i := range 25 {
		name := fmt.Sprintf("model-%02d", i)
		s.Models = append(s.Models, Model{Name: name})
		s.Demand[name] = Demand{Waiting: i}
	}
	for i := range 64 {
		s.Replicas = append(s.Replicas, Replica{
			ID: structs.ReplicaID(fmt.Sprintf("r%02d", i)), Live: true, Ready: true, Slots: 16,
			Models: only(fmt.Sprintf("model-%02d", i%25)),
		})
	}
	for b.Loop() {
		Gaining(s, now)
		Missing(s)
		Plan(s, now)
	}
}
