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
	// fenceBits is the number of low bits of a fencing token that hold the sequence
	// number of an order within a view. The high bits hold the view number.
	fenceBits = 24
	// overdueLoadTimes is the number of load times after which a load counts as
	// failed. The replica then gets no orders for as long as the load had taken, so
	// that the model is placed elsewhere.
	overdueLoadTimes = 3
	// overdueSlack is added to the deadline of a load because load reports lag.
	overdueSlack = 10 * time.Second
	// maxFailures is the number of consecutive failed polls after which a replica
	// counts as failed.
	maxFailures = 3
	// stateLive is the state of a replica that can take calls.
	stateLive = "live"
	// kindEngine is the kind of replicas that take load orders.
	kindEngine = "engine"
)

// poolPlanner plans one pool on this host.
type poolPlanner struct {
	options Options
	pool    structs.PoolName
	log     *event.Logger
	// publishReplacing passes the replicas that are replacing models to the runner.
	publishReplacing func(map[structs.ReplicaID]bool)

	// planning is set while this host is the pool's planner. planningSince is when
	// that began, and lastStep is the time of the last step.
	planning                bool
	planningSince, lastStep time.Time
	view                    structs.ViewNumber
	// orderCount is the number of orders issued in the current view.
	orderCount uint64
	budget     budget
	loads      map[structs.ReplicaID]*loadOrder
	gainSince  map[string]time.Time
	// missingSince holds the time since which each model has had demand and no
	// replica. warned marks the models for which that was logged.
	missingSince map[string]time.Time
	warned       map[string]bool
}

// step runs one planning pass.
func (p *poolPlanner) step(ctx context.Context, models []Model, rate int64) {
	now := time.Now()
	if !p.checkOwnership(now) {
		p.publishReplacing(nil)
		return
	}
	largest := int64(0)
	for _, model := range models {
		largest = max(largest, p.options.Settings.size(model.FullName()))
	}
	budget := p.budget.refill(now, rate, largest)
	begin := p.planningSince.Add(max(takeoverDelay, loadTime(largest, rate)))
	p.updateLoads(now)
	snapshot := Snapshot{
		Models: models, Replicas: p.replicas(now, begin), Demand: p.options.Demands.Demand(p.pool),
		GainSince: p.gainSince, Budget: budget, Rate: rate, Fence: p.fence(), Settings: p.options.Settings,
	}
	p.updateGains(GainingModels(snapshot, now), now)
	orders := Plan(snapshot, now)
	p.recordOrders(orders, rate, now)
	p.updateMissing(MissingModels(snapshot), now.Add(-loadTime(largest, rate)), begin, now)
	p.publishReplacing(p.replacing())
	p.sendOrders(ctx, orders, now)
}

// checkOwnership reports whether this host is the pool's planner. It resets the
// planner's state if the host was not the planner continuously since the last step.
func (p *poolPlanner) checkOwnership(now time.Time) bool {
	view, self := p.options.Owner.Plans(p.pool)
	if p.planning && (!self || now.Sub(p.lastStep) > maxStepGap) {
		p.planning = false
		p.log.Log(event.PlanningStopped, nil)
	}
	if !self {
		return false
	}
	if !p.planning {
		p.planning, p.planningSince, p.budget = true, now, budget{}
		p.loads, p.gainSince = make(map[structs.ReplicaID]*loadOrder), make(map[string]time.Time)
		p.missingSince, p.warned = make(map[string]time.Time), make(map[string]bool)
		p.log.Log(event.PlanningStarted, event.Fields{"view": view})
	}
	if view != p.view {
		p.view, p.orderCount = view, 0
	}
	p.lastStep = now
	return true
}

// replacing returns the replicas that may be dropping models to load an ordered one.
func (p *poolPlanner) replacing() map[structs.ReplicaID]bool {
	replicas := make(map[structs.ReplicaID]bool)
	for id, l := range p.loads {
		if l.replaces && l.active() {
			replicas[id] = true
		}
	}
	return replicas
}

// fence returns the fencing token of the next order. The view number is in the high
// bits, so that the tokens of a later planner are always higher.
func (p *poolPlanner) fence() uint64 {
	return uint64(p.view)<<fenceBits | min(p.orderCount, 1<<fenceBits-1)
}

// updateLoads updates the loads in progress from the load reports.
func (p *poolPlanner) updateLoads(now time.Time) {
	for id, l := range p.loads {
		state := p.options.Directory.LoadState(id)
		switch {
		case !state.Reported:
			delete(p.loads, id)
		case !l.active():
		case state.Load.At.After(l.orderedAt) && slices.Contains(state.Load.Models, l.model):
			l.loaded = true
			p.log.Log(event.ModelLoaded, event.Fields{"replica": id, "model": l.model, "seconds": now.Sub(l.orderedAt).Seconds()})
		case now.After(l.deadline):
			l.failed = true
			l.blockedUntil = now.Add(now.Sub(l.orderedAt))
			p.log.Log(event.LoadOverdue, event.Fields{"replica": id, "model": l.model})
		}
	}
}

// replicas returns the state of the pool's engines. No engine is ready before begin,
// or until its load report was read after begin: an order from the previous planner
// may have changed it.
func (p *poolPlanner) replicas(now, begin time.Time) []Replica {
	var replicas []Replica
	for _, listed := range p.options.Directory.Replicas(p.pool) {
		if listed.Kind != kindEngine {
			continue
		}
		state := p.options.Directory.LoadState(listed.ID)
		replica := Replica{
			ID: listed.ID, Address: listed.Address, Models: state.Load.Models,
			Live: listed.State == stateLive && state.Reported && !state.Load.Leaving && state.Failures < maxFailures,
			// A report from before begin does not reflect the previous planner's
			// last order.
			Ready: state.Load.At.After(begin),
			Slots: state.Load.Slots, Running: state.Load.Running, Queued: state.Load.Queued,
		}
		if l := p.loads[listed.ID]; l != nil {
			replica.OrderedAt = l.orderedAt
			replica.Ready = replica.Ready && (l.loaded || now.After(l.blockedUntil))
			if l.active() {
				replica.Loading = l.model
			}
		}
		replicas = append(replicas, replica)
	}
	return replicas
}

// updateGains records the time since which each model has been gaining without
// interruption.
func (p *poolPlanner) updateGains(names []string, now time.Time) {
	for name := range p.gainSince {
		if !slices.Contains(names, name) {
			delete(p.gainSince, name)
		}
	}
	for _, name := range names {
		if _, known := p.gainSince[name]; !known {
			p.gainSince[name] = now
		}
	}
}

// recordOrders records the orders and charges the budget before they are sent,
// because an order that fails may still have reached the engine.
func (p *poolPlanner) recordOrders(orders []Order, rate int64, now time.Time) {
	for _, order := range orders {
		size := p.options.Settings.size(order.model())
		p.budget.spend(size)
		p.orderCount++
		p.loads[order.Replica] = &loadOrder{
			model: order.model(), orderedAt: now, replaces: order.Replaces, deadline: now.Add(overdueLoadTimes*loadTime(size, rate) + overdueSlack),
		}
		delete(p.gainSince, order.model())
	}
}

// updateMissing logs, once, each model that has had demand and no replica since
// before the given time, provided that this host could already have ordered it then.
func (p *poolPlanner) updateMissing(names []string, before, begin, now time.Time) {
	for name := range p.missingSince {
		if !slices.Contains(names, name) {
			delete(p.missingSince, name)
			delete(p.warned, name)
		}
	}
	for _, name := range names {
		since, known := p.missingSince[name]
		switch {
		case !known:
			p.missingSince[name] = now
		case since.Before(before) && begin.Before(before) && !p.warned[name]:
			p.warned[name] = true
			p.log.Log(event.ModelUnavailable, event.Fields{"model": name})
		}
	}
}

func compareNames(a, b Model) int { return strings.Compare(a.FullName(), b.FullName()) }
