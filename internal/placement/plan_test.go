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

// now is an arbitrary time. A load takes 1 s in the snapshots of these tests.
var now = time.Unix(1_000_000, 0)

// testSnapshot returns a snapshot of ready replicas with 4 slots, each with the
// given models.
func testSnapshot(demand map[string]Demand, replicas ...[]string) Snapshot {
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

func list(names ...string) []string { return append([]string{}, names...) }

// formatOrders returns the orders as "replica:model".
func formatOrders(orders []Order) []string {
	texts := []string{}
	for _, order := range orders {
		texts = append(texts, string(order.Replica)+":"+order.model())
	}
	return texts
}

// withLastingGain marks models a and b as gaining for the minimum time.
func withLastingGain(s Snapshot) Snapshot {
	s.GainSince = map[string]time.Time{"a": now.Add(-minGainLoadTimes * time.Second), "b": now.Add(-minGainLoadTimes * time.Second)}
	return s
}

// TestPlan guards against models that are left without a replica, moves with too
// little gain, and orders to replicas that can't take any.
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
		{"missing model", testSnapshot(map[string]Demand{"b": {Waiting: 1}}, list("a"), list("a")), list("r00:b")},
		{"missing by rate only", testSnapshot(map[string]Demand{"b": {TokensPerSecond: 1}}, list("a"), list("a")), list("r00:b")},
		{"no demand, no replica needed", testSnapshot(nil, list("a"), list("a")), list()},
		{"only replica of a used model is kept", testSnapshot(busy, list("a")), list()},
		{"spare of an idle model is preferred", testSnapshot(busy, list("a"), list("a"), list("c")), list("r02:b")},
		{"demand shifts", withLastingGain(testSnapshot(busy, list("a"), list("a"), list("b"))), list("r00:b")},
		{"gain did not last", testSnapshot(busy, list("a"), list("a"), list("b")), list()},
		{"gain too small", withLastingGain(testSnapshot(even, list("a"), list("a"), list("b"))), list()},
		{"shares follow demand", withLastingGain(testSnapshot(even, list("a"), list("a"), list("b"), list("a"))), list("r00:b")},
		{"slots mostly free", withLastingGain(testSnapshot(map[string]Demand{"b": {Running: 1}}, list("b"), list("a"))), list()},
		{"leaving or failed", change(testSnapshot(busy, list("a"), list("a"), list("c")), 2, func(r *Replica) { r.Live = false }), list("r00:b")},
		{"holder failed", change(testSnapshot(busy, list("a"), list("a"), list("b")), 2, func(r *Replica) { r.Live = false }), list("r00:b")},
		{"not ready", change(testSnapshot(busy, list("a"), list("c")), 1, func(r *Replica) { r.Ready = false }), list()},
		{"loads already", change(testSnapshot(busy, list("a"), list("a"), list("a")), 2, func(r *Replica) { r.Loading = "b" }), list()},
		{"models not known", testSnapshot(busy, nil, nil), list()},
		{"loaded lately", change(withLastingGain(testSnapshot(busy, list("a"), list("a"), list("b"))), 0, func(r *Replica) { r.OrderedAt = now.Add(-time.Second) }), list("r01:b")},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(formatOrders(Plan(c.s, now)), c.want)
		})
	}
}

// TestBudgetOfPlan guards against orders that exceed the weight store's rate, and
// against a small model that uses up the budget that a model with more demand is
// waiting for.
func TestBudgetOfPlan(t *testing.T) {
	is := is.New(t)
	s := testSnapshot(map[string]Demand{"b": {Waiting: 9}, "c": {Waiting: 1}}, list("a"), list("a"), list("a"))
	s.Settings.Sizes = map[string]int64{"b": 10}
	s.Budget = 11
	is.Equal(formatOrders(Plan(s, now)), list("r00:b", "r01:c"))
	s.Budget = 10
	is.Equal(formatOrders(Plan(s, now)), list("r00:b"))
	s.Budget = 9
	is.Equal(formatOrders(Plan(s, now)), list())
}

// TestPlanSettles guards against plans that never converge under constant demand,
// take the last replica of a model with demand, give two orders to one replica, or
// exceed the budget.
func TestPlanSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := make(map[string]Demand)
		for _, name := range []string{"a", "b", "c"} {
			demand[name] = Demand{Running: rapid.IntRange(0, 40).Draw(t, name)}
		}
		s := testSnapshot(demand)
		for i := range rapid.IntRange(3, 12).Draw(t, "replicas") {
			model := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "model")
			s.Replicas = append(s.Replicas, Replica{
				ID: structs.ReplicaID(fmt.Sprintf("r%02d", i)), Live: true, Ready: true, Models: list(model),
				Slots: rapid.IntRange(1, 16).Draw(t, "slots"),
			})
		}
		s.Budget = int64(rapid.IntRange(1, 3).Draw(t, "budget"))
		// Each model gets at most one additional replica per round, and each replica
		// can move between any two models a few times while the others settle.
		for range 100 {
			orders := Plan(withLastingGain(s), now)
			if int64(len(orders)) > s.Budget {
				t.Fatalf("%d orders with a budget of %d", len(orders), s.Budget)
			}
			if len(orders) == 0 {
				break
			}
			applyOrders(t, s, orders)
		}
		if left := Plan(withLastingGain(s), now); len(left) > 0 {
			t.Fatalf("plan did not converge, remaining orders: %v", formatOrders(left))
		}
		if missing := MissingModels(s); len(missing) > 0 {
			t.Fatalf("%d replicas, but models %v have none", len(s.Replicas), missing)
		}
	})
}

// applyOrders replaces the models of the replicas by the ordered ones.
func applyOrders(t *rapid.T, s Snapshot, orders []Order) {
	before := newAllocation(s)
	seen := make(map[structs.ReplicaID]bool)
	for _, order := range orders {
		if seen[order.Replica] {
			t.Fatalf("two orders for replica %s", order.Replica)
		}
		seen[order.Replica] = true
		i := slices.IndexFunc(s.Replicas, func(r Replica) bool { return r.ID == order.Replica })
		s.Replicas[i].Models = list(order.model())
	}
	after := newAllocation(s)
	for name, slots := range before.requiredSlots {
		if slots > 0 && before.replicaCount[name] > 0 && after.replicaCount[name] == 0 {
			t.Fatalf("model %s has no replica after orders %v", name, formatOrders(orders))
		}
	}
}

// TestMoveCost guards against transfers that take longer than recomputation, that
// outlast the old replica, or that are based on unmeasured costs.
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

// BenchmarkPlan measures one planning step for the largest pool without cells, 64
// replicas, with the 25 models of the target scale.
func BenchmarkPlan(b *testing.B) {
	s := testSnapshot(make(map[string]Demand))
	for i := range 25 {
		name := fmt.Sprintf("model-%02d", i)
		s.Models = append(s.Models, Model{Name: name})
		s.Demand[name] = Demand{Waiting: i}
	}
	for i := range 64 {
		s.Replicas = append(s.Replicas, Replica{
			ID: structs.ReplicaID(fmt.Sprintf("r%02d", i)), Live: true, Ready: true, Slots: 16,
			Models: list(fmt.Sprintf("model-%02d", i%25)),
		})
	}
	for b.Loop() {
		GainingModels(s, now)
		MissingModels(s)
		Plan(s, now)
	}
}
