package placement

import (
	"cmp"
	"slices"
	"time"

	"cowslipgw/internal/upstream"
)

const (
	// gainFactor is how many times the pressure of the models that lose a replica, after
	// the loss, the pressure of the model that gets it must be. The reverse move would
	// need the inverse relation, so a move is not undone under the same demand.
	gainFactor = 1.25
	// minPressure is the share of slots in use below which another replica gains nothing.
	minPressure = 0.5
	// persistLoads is for how many load times a gain must have lasted. A gain that lasted
	// so long is expected to last longer than the load.
	persistLoads = 2
	// stayLoads is for how many load times a replica keeps what it was ordered to load,
	// unless a model with demand has no replica.
	stayLoads = 10
)

// Plan returns the load orders that are worth giving now. Models with demand and
// without a replica come first. Each replica gets at most one order, and the orders
// keep to the budget.
func Plan(snapshot Snapshot, now time.Time) []Order {
	p := newPlanner(snapshot, now)
	for _, model := range p.missing() {
		if !p.give(model, p.cheapest(model.FullName(), false)) {
			return p.orders
		}
	}
	for _, model := range p.byPressure() {
		name := model.FullName()
		since, gains := snapshot.Gaining[name]
		if !gains || now.Sub(since) < persistLoads*p.loadTime(name) {
			continue
		}
		if !p.give(model, p.gain(name)) {
			return p.orders
		}
	}
	return p.orders
}

// Gaining returns the full names of the models for which another replica would be a
// gain now, whether or not it lasts and the budget allows it.
func Gaining(snapshot Snapshot, now time.Time) []string {
	p := newPlanner(snapshot, now)
	var names []string
	for _, model := range p.byPressure() {
		if name := model.FullName(); p.gain(name) >= 0 {
			names = append(names, name)
		}
	}
	return names
}

// Missing returns the full names of the models with demand that no live replica
// holds or loads.
func Missing(snapshot Snapshot) []string {
	var names []string
	for _, model := range newPlanner(snapshot, time.Time{}).missing() {
		names = append(names, model.FullName())
	}
	return names
}

// planner is the state of one plan.
type planner struct {
	Snapshot
	now    time.Time
	orders []Order
	left   int64
	used   []bool
	tally  tally
}

func newPlanner(snapshot Snapshot, now time.Time) *planner {
	p := &planner{Snapshot: snapshot, now: now, left: snapshot.Budget, used: make([]bool, len(snapshot.Replicas))}
	p.tally = newTally(snapshot)
	return p
}

// missing returns the models with demand that no live replica holds, the largest
// demand first.
func (p *planner) missing() []Model {
	return p.sorted(func(name string) float64 {
		if p.tally.holders[name] > 0 {
			return 0
		}
		return p.Demand[name].work()
	})
}

// byPressure returns the held models whose slots are in use enough, the most pressed
// first.
func (p *planner) byPressure() []Model {
	return p.sorted(func(name string) float64 {
		pressure := p.tally.pressure(name)
		if p.tally.holders[name] == 0 || pressure < minPressure {
			return 0
		}
		return pressure
	})
}

// sorted returns the models with a key above 0, the largest first.
func (p *planner) sorted(key func(name string) float64) []Model {
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

// gain returns the replica that would be a gain for a model, or -1.
func (p *planner) gain(name string) int {
	i := p.cheapest(name, true)
	if i < 0 || p.tally.cost(i)*gainFactor > p.tally.pressure(name) {
		return -1
	}
	return i
}

// cheapest returns the replica whose present models lose the least by loading
// another, or -1 if none may load it. With stay, replicas keep what they loaded
// lately.
func (p *planner) cheapest(name string, stay bool) int {
	best := -1
	for i, replica := range p.Replicas {
		if !p.available(i, name) || stay && p.stays(replica) || !p.tally.spares(i) {
			continue
		}
		if best < 0 || p.tally.cost(i) < p.tally.cost(best) {
			best = i
		}
	}
	return best
}

// available says whether a replica can take an order for a model.
func (p *planner) available(i int, name string) bool {
	r := p.Replicas[i]
	return r.Live && r.Ready && r.Loading == "" && r.Models != nil && !p.used[i] && !slices.Contains(r.Models, name)
}

// stays says whether the replica was given its models a short time ago.
func (p *planner) stays(r Replica) bool {
	if r.Ordered.IsZero() {
		return false
	}
	longest := time.Duration(0)
	for _, name := range r.Models {
		longest = max(longest, p.loadTime(name))
	}
	return p.now.Sub(r.Ordered) < stayLoads*longest
}

// give orders a replica to load a model. A replica of -1 is skipped. It returns false
// when the budget is used up: a later, smaller model must not take what the earlier
// one waits for.
func (p *planner) give(model Model, i int) bool {
	if i < 0 {
		return true
	}
	size := p.Settings.size(model.FullName())
	if size > p.left {
		return false
	}
	p.left -= size
	p.used[i] = true
	p.orders = append(p.orders, Order{
		Replica: p.Replicas[i].ID, Address: p.Replicas[i].Address, Replaces: !p.tally.room(i),
		Order: upstream.Order{
			Kind: upstream.OrderLoad, Fence: p.Fence + uint64(len(p.orders)),
			Model: model.Name, Adapter: model.Adapter, Version: model.Version,
		},
	})
	p.tally.load(i, model.FullName())
	return true
}

func (p *planner) loadTime(name string) time.Duration {
	return loadTime(p.Settings.size(name), p.Rate)
}
