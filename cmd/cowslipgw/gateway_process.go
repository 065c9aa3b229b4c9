package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/rpc"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"cowslipgw/internal/event"
	"cowslipgw/internal/forward"
	"cowslipgw/internal/gateway"
	"cowslipgw/internal/peers"
	"cowslipgw/internal/quota"
	"cowslipgw/internal/replica"
	"cowslipgw/internal/storelog"
	"cowslipgw/internal/turns"
	"cowslipgw/platform"
)

const (
	// memoryShare is the part of the machine's memory that the Go heap may use.
	memoryShare = 0.7
	// headerTimeout limits the time that a client takes for the head of a request.
	headerTimeout = 10 * time.Second
	// clientIdle is longer than any client keeps an idle connection.
	clientIdle = 5 * time.Minute
	// leaveTime is how long a leaving host serves new connections: until clients have a
	// newer directory answer.
	leaveTime = 3500 * time.Millisecond
	// stopMargin is kept of the grace period for the exit itself.
	stopMargin = 700 * time.Millisecond
	// stopPoll is how often the end of the last request is looked for.
	stopPoll = 20 * time.Millisecond
	// sweepInterval is how often idle connections to replicas are checked.
	sweepInterval = time.Second
	// warmInterval is how often partitions that may move here are loaded.
	warmInterval = time.Second
	// warmDelay is the time in which a new host hears the heartbeats of the others.
	warmDelay = 1500 * time.Millisecond
	// resolveTTL is how long a client should keep a directory answer.
	resolveTTL = 2 * time.Second
)

// gatewayProcess is one host on the users' platform.
type gatewayProcess struct {
	settings platform.Settings
	path     string
	events   *event.Logger
	// dropped returns the number of dropped log lines.
	dropped func() uint64

	table     *peers.Table
	strain    peers.Strain
	registry  *peers.Registry
	beacon    *peers.Beacon
	home      *turns.Home
	client    *turns.Client
	limiter   *quota.Limiter
	config    *gateway.Config
	discovery *gateway.Discovery
	pool      *forward.Pool
	gateway   *gateway.Gateway
}

// endpoint is a server with the address that it listens on.
type endpoint struct {
	server *http.Server
	addr   string
}

// newGatewayProcess builds the parts of a host.
func newGatewayProcess(s platform.Settings, path string, events *event.Logger) (*gatewayProcess, error) {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	p := &gatewayProcess{settings: s, path: path, events: events}
	monitor := storelog.NewMonitor()
	p.table = peers.NewTable(peers.Host{
		ID: s.Node, Incarnation: time.Now().UnixMicro(), Zone: s.Zone, Entry: s.Frontend,
		Addr: net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort)), Cores: s.Cores,
	}, monitor.Healthy)
	p.table.SetStrained(p.strain.Strained)
	store := platform.NewStore(s.Store, monitor)
	p.registry = peers.NewRegistry(p.table, store, events)
	limiter := quota.NewLimiter(quota.Bound{Window: s.RateWindow, Excess: s.RateExcess, Slack: s.RateSlack}, p.table.Counts)
	caller := peers.NewCaller(p.table)
	p.limiter = limiter
	p.client = turns.NewClient(p.table, caller)
	p.home = turns.NewHome(p.table.Self(), store, p.client, s.StoreParts, events)
	p.client.SetHome(p.home)
	var err error
	p.beacon, err = peers.NewBeacon(p.table, func(b *peers.Heartbeat) {
		b.Usage = limiter.Usage()
	}, func(b peers.Heartbeat) {
		limiter.Heard(b.Host.ID, b.Host.Incarnation, b.Usage)
	})
	if err != nil {
		return nil, err
	}
	replicas := replica.NewSet(s.Zone, events)
	p.config = gateway.NewConfig(platform.NewConfigReader(store, s.Keyed, events), s.KeyFreshness, p.table.Known,
		limiter.Configure, events)
	p.discovery = gateway.NewDiscovery(platform.NewReplicaReader(store, events), replicas, p.table.Known)
	p.pool = forward.NewPool()
	p.gateway = gateway.New(gateway.Parts{Codec: platform.Codec{}, Config: p.config, Quota: quota.NewClient(p.table, caller, limiter), Costs: quota.NewCosts(),
		Replicas: replicas, Pool: p.pool, Turns: p.client, Events: events,
		StoreElsewhere: p.table.StoreElsewhere})
	return p, nil
}

// run serves until ctx ends, and then drains.
func (p *gatewayProcess) run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	front := &http.Server{Handler: p.gateway, ReadHeaderTimeout: headerTimeout, IdleTimeout: clientIdle}
	group, failed := errgroup.WithContext(ctx)
	listeners := []endpoint{
		{front, p.settings.Frontend},
		{&http.Server{Handler: platform.NewReadiness(p.ready), ReadHeaderTimeout: headerTimeout}, p.settings.Readiness},
		{&http.Server{Handler: metricsHandler(), ReadHeaderTimeout: headerTimeout},
			net.JoinHostPort(p.settings.IP, strconv.Itoa(p.settings.FirstPort+1))},
	}
	if p.settings.Directory != "" {
		directory := platform.NewDirectory(p.entries, min(resolveTTL, p.settings.ResolveTTL))
		listeners = append(listeners, endpoint{&http.Server{Handler: directory, ReadHeaderTimeout: headerTimeout}, p.settings.Directory})
	}
	if err := p.serveCalls(); err != nil {
		return err
	}
	for _, l := range listeners {
		listener, err := net.Listen("tcp", l.addr)
		if err != nil {
			return oops.Wrapf(err, "listen on %s", l.addr)
		}
		group.Go(func() error {
			if err := l.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return oops.Wrapf(err, "serve on %s", l.addr)
			}
			return nil
		})
	}
	p.start(background)
	p.events.Log(event.HostStarted, event.Fields{"host": p.settings.Node, "zone": p.settings.Zone, "first_start": p.settings.FirstStart})
	<-failed.Done()
	if ctx.Err() != nil {
		p.drain(front)
	}
	for _, l := range listeners {
		// Connections that are still open end with the process.
		_ = l.server.Close()
	}
	err := group.Wait()
	p.events.Log(event.HostStopped, event.Fields{"host": p.settings.Node, "active": p.gateway.Active(), "lines_dropped": p.dropped()})
	return err
}

// start starts what runs beside the requests.
func (p *gatewayProcess) start(ctx context.Context) {
	go p.strain.Run(ctx)
	go p.beacon.Receive()
	go p.beacon.Run(ctx)
	go p.registry.Run(ctx)
	go p.config.Run(ctx)
	go p.discovery.Run(ctx)
	go p.home.Sweep(ctx, p.client.Owns)
	go every(ctx, sweepInterval, p.pool.Sweep)
	go p.warm(ctx)
	go every(ctx, p.table.Interval(), func() { p.table.SetServing(p.ready()) })
	go p.reloads(ctx)
}

// warm loads the partitions that may move here, once the other hosts are known.
func (p *gatewayProcess) warm(ctx context.Context) {
	select {
	case <-time.After(warmDelay):
	case <-ctx.Done():
	}
	every(ctx, warmInterval, func() { p.home.Warm(ctx, p.client.Owns) })
}

// every calls f at an interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// ready reports whether callers may be sent here.
func (p *gatewayProcess) ready() bool {
	return p.config.Fresh() && p.discovery.Loaded() && !p.gateway.Leaving()
}

// entries returns the addresses for callers of a zone.
func (p *gatewayProcess) entries(zone string) []string {
	hosts := p.table.Serving(zone)
	addresses := make([]string, len(hosts))
	for i, h := range hosts {
		addresses[i] = h.Entry
	}
	return addresses
}

// serveCalls answers the calls of other hosts.
func (p *gatewayProcess) serveCalls() error {
	server := rpc.NewServer()
	if err := server.RegisterName(turns.ServiceName, turns.NewService(p.home, p.client.Owns)); err != nil {
		return oops.Wrapf(err, "register service")
	}
	if err := server.RegisterName(quota.ServiceName, quota.NewService(p.limiter)); err != nil {
		return oops.Wrapf(err, "register service")
	}
	listener, err := net.Listen("tcp", p.table.Self().Addr)
	if err != nil {
		return oops.Wrapf(err, "listen for hosts")
	}
	go server.Accept(listener)
	return nil
}

// drain ends the service of callers without cutting a request.
func (p *gatewayProcess) drain(front *http.Server) {
	start := time.Now()
	p.events.Log(event.HostDraining, event.Fields{"host": p.settings.Node, "active": p.gateway.Active()})
	p.gateway.Leave()
	p.table.SetLeaving()
	p.beacon.Send()
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(p.settings.Grace-stopMargin))
	defer cancel()
	time.Sleep(leaveTime)
	// Requests that do not end in the grace period are cut by the kill that follows.
	_ = front.Shutdown(ctx)
	for (p.gateway.Active() > 0 || !p.home.Idle()) && ctx.Err() == nil {
		time.Sleep(stopPoll)
	}
	if err := p.registry.Remove(ctx); err != nil {
		p.events.Log(event.StoreLost, event.Fields{"error": err.Error()})
	}
}

// reloads reads the settings file again on SIGHUP. A faulty file changes nothing.
func (p *gatewayProcess) reloads(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		loaded, err := platform.LoadSettings(p.path)
		if err != nil {
			p.events.Log(event.SettingsInvalid, event.Fields{"error": err.Error()})
			continue
		}
		p.config.SetFreshness(loaded.KeyFreshness)
		p.events.Log(event.SettingsReloaded, event.Fields{"key_freshness_ms": loaded.KeyFreshness.Milliseconds()})
	}
}

// metricsHandler serves counters and histograms as text.
func metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	return mux
}
