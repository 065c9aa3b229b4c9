package main

import (
	"context"
	"net/http"
	"time"

	"cowslipgw/internal/event"
)

const (
	// drainDelay is how long a draining host accepts new connections, until clients
	// have refreshed their directory response.
	drainDelay = 3500 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for the process
	// exit.
	exitMargin = time.Second
	// removeTimeout limits the removal of the host's record, which fits in exitMargin.
	removeTimeout = 300 * time.Millisecond
	// drainPollInterval is how often drain checks whether the last request has ended.
	drainPollInterval = 20 * time.Millisecond
)

// drain shuts the host down without cutting a request: it leaves the fleet and waits
// within the grace period until all active requests have ended and all changes of turns
// are stored.
func (p *gatewayProcess) drain(frontend, relays *http.Server) {
	start := time.Now()
	p.events.Log(event.HostDraining, event.Fields{"host": p.settings.Host, "active": p.gateway.Active()})
	end := start.Add(p.settings.Grace - exitMargin)
	p.gateway.Drain(end)
	p.turns.Drain(end)
	p.table.SetLeaving()
	p.beacon.Announce()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	select {
	case <-time.After(drainDelay):
	case <-ctx.Done():
	}
	// Streams that outlast the grace period are cut when the process exits.
	_ = frontend.Shutdown(ctx)
	p.waitIdle(ctx)
	// Other hosts may need this one until its own callers have left. What they ask of it ends as well;
	// an error means that the grace period has passed.
	_ = relays.Shutdown(ctx)
	_ = p.peerServer.Shutdown(ctx)
	p.waitIdle(ctx)
	removeCtx, cancelRemove := context.WithTimeout(context.Background(), removeTimeout)
	defer cancelRemove()
	if err := p.registry.Remove(removeCtx); err != nil {
		p.events.Log(event.StoreUnreachable, event.Fields{"error": err.Error()})
	}
}

// waitIdle waits until all requests have ended and all changes of turns are stored, or until ctx ends.
func (p *gatewayProcess) waitIdle(ctx context.Context) {
	for (p.gateway.Active() > 0 || !p.owner.Idle()) && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
}
