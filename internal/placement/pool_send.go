package placement

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"cowslipgw/internal/event"
	"cowslipgw/internal/upstream"
)

// orderWorkers give orders at the same time.
const orderWorkers = 8

// send gives the orders of a plan made at a time. All of them end within
// orderTimeout of that, also those that wait for another.
func (p *poolPlan) send(ctx context.Context, orders []Order, planned time.Time) {
	if len(orders) == 0 {
		return
	}
	limited, cancel := context.WithDeadline(ctx, planned.Add(orderTimeout))
	defer cancel()
	var group errgroup.Group
	group.SetLimit(orderWorkers)
	for _, order := range orders {
		group.Go(func() error {
			p.give(limited, order)
			return nil
		})
	}
	_ = group.Wait()
}

// give gives one order unless another host plans the pool by now.
func (p *poolPlan) give(ctx context.Context, order Order) {
	fields := event.Fields{"replica": order.Replica, "model": order.model(), "fence": order.Fence}
	view, self := p.options.Owner.Plans(p.pool)
	if deadline, _ := ctx.Deadline(); !self || view != p.view || !time.Now().Before(deadline) {
		p.loads[order.Replica].notTaken(retryPause)
		p.log.Log(event.OrderWithheld, fields)
		return
	}
	err := p.options.Orders.Order(ctx, order.Address, order.Order)
	switch {
	case err == nil:
		p.log.Log(event.LoadOrdered, fields)
	case errors.Is(err, upstream.ErrOldFence):
		p.loads[order.Replica].notTaken(refusedPause)
		p.log.Log(event.OrderRefused, fields)
	default:
		if refused := new(upstream.StatusError); errors.Is(err, upstream.ErrNotSent) || errors.As(err, &refused) && refused.Status < 500 {
			p.loads[order.Replica].notTaken(refusedPause)
		}
		fields["error"] = err.Error()
		p.log.Log(event.OrderFailed, fields)
	}
}
