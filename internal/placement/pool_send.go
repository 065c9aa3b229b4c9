package placement

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"cowslipgw/internal/event"
	"cowslipgw/internal/upstream"
)

// orderWorkers is the number of orders sent concurrently.
const orderWorkers = 8

// sendOrders sends the orders of a plan. All of them end within orderTimeout of the
// time at which the plan was made, including those that wait for a worker.
func (p *poolPlanner) sendOrders(ctx context.Context, orders []Order, planned time.Time) {
	if len(orders) == 0 {
		return
	}
	limited, cancel := context.WithDeadline(ctx, planned.Add(orderTimeout))
	defer cancel()
	var group errgroup.Group
	group.SetLimit(orderWorkers)
	for _, order := range orders {
		group.Go(func() error {
			p.sendOrder(limited, order)
			return nil
		})
	}
	_ = group.Wait()
}

// sendOrder sends one order, unless this host is no longer the pool's planner or the
// deadline has passed.
func (p *poolPlanner) sendOrder(ctx context.Context, order Order) {
	fields := event.Fields{"replica": order.Replica, "model": order.model(), "fence": order.Fence}
	view, self := p.options.Owner.Plans(p.pool)
	if deadline, _ := ctx.Deadline(); !self || view != p.view || !time.Now().Before(deadline) {
		p.loads[order.Replica].markNotStarted(notSentBackoff)
		p.log.Log(event.LoadOrderSkipped, fields)
		return
	}
	err := p.options.Orders.Order(ctx, order.Address, order.Order)
	switch {
	case err == nil:
		p.log.Log(event.LoadOrdered, fields)
	case errors.Is(err, upstream.ErrStaleFence):
		p.loads[order.Replica].markNotStarted(refusedBackoff)
		p.log.Log(event.LoadOrderRefused, fields)
	default:
		if refused := new(upstream.StatusError); errors.Is(err, upstream.ErrNotSent) || errors.As(err, &refused) && refused.Status < 500 {
			p.loads[order.Replica].markNotStarted(refusedBackoff)
		}
		fields["error"] = err.Error()
		p.log.Log(event.LoadOrderFailed, fields)
	}
}
