package host

import (
	"context"
	"errors"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"cowslipgw/internal/event"
	"cowslipgw/internal/structs"
)

const (
	// handoverPollInterval is how often a leaving host checks whether other hosts have
	// taken over its partitions.
	handoverPollInterval = 50 * time.Millisecond
	// leaveTimeout bounds each wait for the log or for the handover during a planned
	// stop. If the log is unreachable, the host cannot leave the view. It stops
	// nevertheless, and the other hosts evict it later.
	leaveTimeout = 30 * time.Second
)

// Run serves until stop is done and then drains the host, so that running requests
// are not cut off. When kill is done, the host stops immediately, as if its process
// had died.
func (h *Host) Run(stop, kill context.Context) error {
	background, cancel := context.WithCancel(kill)
	defer cancel()
	group, groupCtx := errgroup.WithContext(background)
	h.start(groupCtx, group)
	h.options.Logger.Log(event.HostStarted, event.Fields{"entry": h.EntryAddress(), "admin": h.AdminAddress()})
	select {
	case <-stop.Done():
		h.drain(groupCtx)
	case <-groupCtx.Done():
	}
	cancel()
	h.closeAll()
	err := group.Wait()
	h.options.Logger.Log(event.HostStopped, nil)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// start runs all components of the host in goroutines of the group.
func (h *Host) start(ctx context.Context, group *errgroup.Group) {
	run := func(component func(context.Context)) {
		group.Go(func() error {
			component(ctx)
			return nil
		})
	}
	group.Go(func() error {
		h.controlServer.Serve(h.listeners.control)
		return nil
	})
	for _, follower := range h.followers {
		run(follower.Run)
	}
	run(h.member.Run)
	run(h.manager.Run)
	run(h.checkpoints.Run)
	run(h.service.Run)
	run(h.owners.Run)
	run(h.sweeper.Run)
	run(h.dispatcher.Run)
	run(h.placement.Run)
	run(h.freshness.run)
	run(h.snapshotter.run)
	run(h.followView)
	run(func(ctx context.Context) { h.limiter.Run(ctx, accountLimits(h.store)) })
	run(func(ctx context.Context) { _ = h.directory.Run(ctx) })
	run(func(ctx context.Context) { _ = h.entry.Run(ctx) })
	group.Go(func() error { return h.entry.Serve(h.listeners.entry) })
	group.Go(func() error {
		if err := h.admin.Serve(h.listeners.admin); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
}

// followView passes each new view to the components that do not follow the view
// themselves: the log appender and the dispatchers.
func (h *Host) followView(ctx context.Context) {
	for {
		changed := h.member.Changed()
		view := h.member.View()
		live := make(map[structs.HostID]structs.Incarnation, len(view.Hosts))
		for _, host := range view.Hosts {
			live[host.ID] = host.Incarnation
		}
		h.appender.SetHosts(max(1, len(live)))
		h.pools.ViewChanged(view.Number, live)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// drain removes the host from the fleet without cutting off a request (docs/design.md,
// section 5.8). The last host of a fleet keeps its partitions until its requests have
// ended, because no other host can settle them.
func (h *Host) drain(ctx context.Context) {
	h.options.Logger.Log(event.HostDraining, nil)
	h.entry.StartDrain()
	if h.hasSuccessor() {
		h.leave(ctx)
	}
	if err := h.entry.Shutdown(ctx); err != nil {
		h.options.Logger.Log(event.DrainStepFailed, event.Fields{"error": err.Error()})
	}
	h.awaitHandover(ctx)
	limited, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := h.member.FinishLeaving(limited); err != nil {
		h.options.Logger.Log(event.DrainStepFailed, event.Fields{"error": err.Error()})
	}
}

// leave announces to the fleet that this host is leaving and waits until other hosts
// have taken over its partitions.
func (h *Host) leave(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := h.member.StartLeaving(limited); err != nil {
		h.options.Logger.Log(event.DrainStepFailed, event.Fields{"error": err.Error()})
		return
	}
	h.awaitHandover(limited)
}

// hasSuccessor reports whether the view has another host that is not leaving and can
// take over this host's partitions.
func (h *Host) hasSuccessor() bool {
	for _, host := range h.member.View().Hosts {
		if host.ID != h.options.Settings.ID && !host.Leaving {
			return true
		}
	}
	return false
}

// awaitHandover waits until no other host needs this host's copies and no settlement
// is pending here, for at most leaveTimeout. It returns immediately if there is no
// successor.
func (h *Host) awaitHandover(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	ticker := time.NewTicker(handoverPollInterval)
	defer ticker.Stop()
	for h.hasSuccessor() && (!h.manager.HandedOver() || h.owners.PendingSettlements() > 0) {
		select {
		case <-limited.Done():
			return
		case <-ticker.C:
		}
	}
}

// closeAll closes all servers, sockets and connections.
func (h *Host) closeAll() {
	// The servers are closed before their sockets, so that Serve returns without an
	// error.
	h.entry.Close()
	_ = h.admin.Close()
	h.listeners.close()
	h.controlServer.Close()
	h.controlClient.Close()
	h.pools.Close()
	h.upstreams.Close()
	h.log.Close()
}
