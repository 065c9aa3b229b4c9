package placement

import (
	"cmp"
	"slices"
	"time"

	"cowslipgw/internal/upstream"
)

const (
	// hysteresisFactor is the minimum ratio between the pressure of the model that
	// gets a replica and the pressure, after the move, of the models that lose it.
	// The reverse move would need the inverse ratio, so a move is never undone while
	// the demand is unchanged.
	hysteresisFactor = 1.25
	// minPressure is the slot utilization below which a model gains nothing from
	// another replica.
	minPressure = 0.5
	// minGainLoadTimes is how long a gain must have persisted, in load times, before
	// it is acted on. A gain that has lasted this long is expected to outlast the
	// load.
	minGainLoadTimes = 2
	// minStayLoadTimes is how long, in load times, a replica keeps a model that it
	// was ordered to load, unless a model with demand has no replica.
	minStayLoadTimes = 10
)

// Plan returns the load orders to send now. Models that have demand and no replica
// come first. Each replica gets at most one order, and the orders stay within the
// budget.
func Plan(snapshot Snapshot, now time.Time) []Order {
	p := newPlanner(snapshot, now)
	for _, model := range p.missingModels() {
		if !p.assign(model, p.cheapestReplica(model.FullName(), false)) {
			return p.orders
		}
	}
	for _, model := range p.modelsByPressure() {
		name := model.FullName()
		since, gains := snapshot.GainSince[name]
		if !gains || now.Sub(since) < minGainLoadTimes*p.loadTime(name) {
			continue
		}
		if !p.assign(model, p.gainingReplica(name)) {
			return p.orders
		}
	}
	return p.orders
}

// GainingModels returns the full names of the models that would gain from another
// replica now, regardless of how long the gain has persisted and of the budget.
func GainingModels(snapshot Snapshot, now time.Time) []string {
	p := newPlanner(snapshot, now)
	var names []string
	for _, model := range p.modelsByPressure() {
		if name := model.FullName(); p.gainingReplica(name) >= 0 {
			names = append(names, name)
		}
	}
	return names
}

// MissingModels returns the full names of the models that have demand and that no
// live replica holds or is loading.
func MissingModels(snapshot Snapshot) []string {
	var names []string
	for _, model := range newPlanner(snapshot, time.Time{}).missingModels() {
		names = append(names, model.FullName())
	}
	return names
}

// planner holds the state of one planning pass.
type planner struct {
	Snapshot
	now             time.Time
	orders          []Order
	remainingBudget int64
	assigned        []bool
	allocation      allocation
}

func newPlanner(snapshot Snapshot, now time.Time) *planner {
	p := &planner{Snapshot: snapshot, now: now, remainingBudget: snapshot.Budget, assigned: make([]bool, len(snapshot.Replicas))}
	p.allocation = newAllocation(snapshot)
	return p
}

// missingModels returns the models that have demand and that no live replica holds,
// in descending order of demand.
func (p *planner) missingModels() []Model {
	return p.sortedByKey(func(name string) float64 {
		if p.allocation.replicaCount[name] > 0 {
			return 0
		}
		return p.Demand[name].requiredSlots()
	})
}

// modelsByPressure returns the models that have a replica and at least minPressure,
// in descending order of pressure.
func (p *planner) modelsByPressure() []Model {
	return p.sortedByKey(func(name string) float64 {
		pressure := p.allocation.pressure(name)
		if p.allocation.replicaCount[name] == 0 || pressure < minPressure {
			return 0
		}
		return pressure
	})
}

// sortedByKey returns the models with a positive key in descending order.
func (p *planner) sortedByKey(key func(name string) float64) []Model {
	var models []Model
	for _, model := range p.Models {
		if key(model.FullName()) > 0 {
			models = append(models, model)
		}
	}
	slices.SortFunc(models, func(a, b Model) int {
		return cmp.Or(cmp.Compare(key(b.FullName()), key(a.FullName())), cmp.Compare(a.FullName(), b.FullName()))
	})
	return models
}

// gainingReplica returns the index of the replica that a model would gain from, or
// -1.
func (p *planner) gainingReplica(name string) int {
	i := p.cheapestReplica(name, true)
	if i < 0 || p.allocation.replacementCost(i)*hysteresisFactor > p.allocation.pressure(name) {
		return -1
	}
	return i
}

// cheapestReplica returns the index of the replica with the lowest cost of replacing
// its models by the given one, or -1 if no replica can load it. If stay is set,
// replicas with recent orders are skipped.
func (p *planner) cheapestReplica(name string, stay bool) int {
	best := -1
	for i, replica := range p.Replicas {
		if !p.available(i, name) || stay && p.recentlyOrdered(replica) || !p.allocation.canReplace(i) {
			continue
		}
		if best < 0 || p.allocation.replacementCost(i) < p.allocation.replacementCost(best) {
			best = i
		}
	}
	return best
}

// available reports whether a replica can take an order for a model.
func (p *planner) available(i int, name string) bool {
	r := p.Replicas[i]
	return r.Live && r.Ready && r.Loading == "" && r.Models != nil && !p.assigned[i] && !slices.Contains(r.Models, name)
}

// recentlyOrdered reports whether the replica got its last order less than
// minStayLoadTimes load times ago.
func (p *planner) recentlyOrdered(r Replica) bool {
	if r.OrderedAt.IsZero() {
		return false
	}
	longest := time.Duration(0)
	for _, name := range r.Models {
		longest = max(longest, p.loadTime(name))
	}
	return p.now.Sub(r.OrderedAt) < minStayLoadTimes*longest
}

// assign adds an order for replica i to load a model; an index of -1 is ignored. It
// returns false if the remaining budget is too small. Planning must then stop,
// because a smaller model further down must not use the budget that this one is
// waiting for.
func (p *planner) assign(model Model, i int) bool {
	if i < 0 {
		return true
	}
	size := p.Settings.size(model.FullName())
	if size > p.remainingBudget {
		return false
	}
	p.remainingBudget -= size
	p.assigned[i] = true
	p.orders = append(p.orders, Order{
		Replica: p.Replicas[i].ID, Address: p.Replicas[i].Address, Replaces: !p.allocation.hasRoom(i),
		Order: upstream.Order{
			Kind: upstream.OrderLoad, Fence: p.Fence + uint64(len(p.orders)),
			Model: model.Name, Adapter: model.Adapter, Version: model.Version,
		},
	})
	p.allocation.addLoad(i, model.FullName())
	return true
}

func (p *planner) loadTime(name string) time.Duration {
	return loadTime(p.Settings.size(name), p.Rate)
}
