package placement

import (
	"context"
	"slices"
	"strings"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/structs"
)

const (
	// fenceBits is the number of low bits of a fencing number that count the orders under
	// one view. The view number is in the bits above.
	fenceBits = 24
	// overdueLoads is after how many load times a load counts as failed. The replica gets
	// no order for as long again, so that the model is placed elsewhere.
	overdueLoads = 3
	// overdueSlack is added for reports that lag.
	overdueSlack = 10 * time.Second
	// maxFailures is how many polls of a replica fail in a row before it counts as failed.
	maxFailures = 3
	// stateLive is the state of a replica that may get work.
	stateLive = "live"
	// kindEngine is the kind of a replica that takes orders.
	kindEngine = "engine"
)

// poolPlan is the planning of one pool at this host.
type poolPlan struct {
	options Options
	pool    structs.PoolName
	log     *event.Logger
	// publish tells the runner which replicas are replacing models.
	publish func(map[structs.ReplicaID]bool)

	// planning is set while this host plans the pool, since is when it began, last the
	// last step.
	planning    bool
	since, last time.Time
	view        structs.ViewNumber
	// given counts the orders under the view.
	given   uint64
	budget  budget
	loads   map[structs.ReplicaID]*load
	gaining map[string]time.Time
	// missing says since when each model has demand and no replica, warned which of them
	// were logged.
	missing map[string]time.Time
	warned  map[string]bool
}

// step plans the pool once.
func (p *poolPlan) step(ctx context.Context, models []Model, rate int64) {
	now := time.Now()
	if !p.own(now) {
		p.publish(nil)
		return
	}
	largest := int64(0)
	for _, model := range models {
		largest = max(largest, p.options.Settings.size(model.FullName()))
	}
	budget := p.budget.refill(now, rate, largest)
	begin := p.since.Add(max(quietTime, loadTime(largest, rate)))
	p.follow(now)
	snapshot := Snapshot{
		Models: models, Replicas: p.replicas(now, begin), Demand: p.options.Demands.Demand(p.pool),
		Gaining: p.gaining, Budget: budget, Rate: rate, Fence: p.fence(), Settings: p.options.Settings,
	}
	p.noteGaining(Gaining(snapshot, now), now)
	orders := Plan(snapshot, now)
	p.note(orders, rate, now)
	p.noteMissing(Missing(snapshot), now.Add(-loadTime(largest, rate)), begin, now)
	p.publish(p.replacing())
	p.send(ctx, orders, now)
}

// own says whether this host plans the pool, and begins anew when it did not plan it
// without a break.
func (p *poolPlan) own(now time.Time) bool {
	view, self := p.options.Owner.Plans(p.pool)
	if p.planning && (!self || now.Sub(p.last) > continuity) {
		p.planning = false
		p.log.Log(event.PlanningStopped, nil)
	}
	if !self {
		return false
	}
	if !p.planning {
		p.planning, p.since, p.budget = true, now, budget{}
		p.loads, p.gaining = make(map[structs.ReplicaID]*load), make(map[string]time.Time)
		p.missing, p.warned = make(map[string]time.Time), make(map[string]bool)
		p.log.Log(event.PlanningStarted, event.Fields{"view": view})
	}
	if view != p.view {
		p.view, p.given = view, 0
	}
	p.last = now
	return true
}

// replacing returns the replicas that may be dropping models for an ordered one.
func (p *poolPlan) replacing() map[structs.ReplicaID]bool {
	replicas := make(map[structs.ReplicaID]bool)
	for id, l := range p.loads {
		if l.replaces && l.active() {
			replicas[id] = true
		}
	}
	return replicas
}

// fence returns the number of the next order. The view number is in the high bits, so
// that every later planner has higher numbers.
func (p *poolPlan) fence() uint64 {
	return uint64(p.view)<<fenceBits | min(p.given, 1<<fenceBits-1)
}

// follow compares the loads in progress with the reports.
func (p *poolPlan) follow(now time.Time) {
	for id, l := range p.loads {
		state := p.options.Directory.LoadState(id)
		switch {
		case !state.Reported:
			delete(p.loads, id)
		case !l.active():
		case state.Load.At.After(l.at) && slices.Contains(state.Load.Models, l.model):
			l.done = true
			p.log.Log(event.ModelLoaded, event.Fields{"replica": id, "model": l.model, "seconds": now.Sub(l.at).Seconds()})
		case now.After(l.overdue):
			l.failed = true
			l.barred = now.Add(now.Sub(l.at))
			p.log.Log(event.LoadOverdue, event.Fields{"replica": id, "model": l.model})
		}
	}
}

// replicas describes the pool's engines. None is ready before begin, and none until
// its report was read after that: an order of the planner before may have changed it.
func (p *poolPlan) replicas(now, begin time.Time) []Replica {
	var replicas []Replica
	for _, listed := range p.options.Directory.Replicas(p.pool) {
		if listed.Kind != kindEngine {
			continue
		}
		state := p.options.Directory.LoadState(listed.ID)
		replica := Replica{
			ID: listed.ID, Address: listed.Address, Models: state.Load.Models,
			Live: listed.State == stateLive && state.Reported && !state.Load.Leaving && state.Failures < maxFailures,
			// A report from before the last order says nothing about it.
			Ready: state.Load.At.After(begin),
			Slots: state.Load.Slots, Running: state.Load.Running, Queued: state.Load.Queued,
		}
		if l := p.loads[listed.ID]; l != nil {
			replica.Ordered = l.at
			replica.Ready = replica.Ready && (l.done || now.After(l.barred))
			if l.active() {
				replica.Loading = l.model
			}
		}
		replicas = append(replicas, replica)
	}
	return replicas
}

// noteGaining keeps since when each model gains without a break.
func (p *poolPlan) noteGaining(names []string, now time.Time) {
	for name := range p.gaining {
		if !slices.Contains(names, name) {
			delete(p.gaining, name)
		}
	}
	for _, name := range names {
		if _, known := p.gaining[name]; !known {
			p.gaining[name] = now
		}
	}
}

// note counts the orders as given before they are sent: one that fails may have
// reached the engine.
func (p *poolPlan) note(orders []Order, rate int64, now time.Time) {
	for _, order := range orders {
		size := p.options.Settings.size(order.model())
		p.budget.spend(size)
		p.given++
		p.loads[order.Replica] = &load{
			model: order.model(), at: now, replaces: order.Replaces, overdue: now.Add(overdueLoads*loadTime(size, rate) + overdueSlack),
		}
		delete(p.gaining, order.model())
	}
}

// noteMissing logs models that have had demand and no replica since before a time,
// and that could have been ordered since then.
func (p *poolPlan) noteMissing(names []string, before, begin, now time.Time) {
	for name := range p.missing {
		if !slices.Contains(names, name) {
			delete(p.missing, name)
			delete(p.warned, name)
		}
	}
	for _, name := range names {
		since, known := p.missing[name]
		switch {
		case !known:
			p.missing[name] = now
		case since.Before(before) && begin.Before(before) && !p.warned[name]:
			p.warned[name] = true
			p.log.Log(event.ModelMissing, event.Fields{"model": name})
		}
	}
}

func compareNames(a, b Model) int { return strings.Compare(a.FullName(), b.FullName()) }
