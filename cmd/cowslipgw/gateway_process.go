package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/rpc"
	"os"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"cowslipgw/internal/admission"
	"cowslipgw/internal/balance"
	"cowslipgw/internal/evacuation"
	"cowslipgw/internal/event"
	"cowslipgw/internal/forward"
	"cowslipgw/internal/gateway"
	"cowslipgw/internal/intake"
	"cowslipgw/internal/pacing"
	"cowslipgw/internal/peers"
	"cowslipgw/internal/quarantine"
	"cowslipgw/internal/quota"
	"cowslipgw/internal/relay"
	"cowslipgw/internal/replica"
	"cowslipgw/internal/route"
	"cowslipgw/internal/storelog"
	"cowslipgw/internal/turns"
	"cowslipgw/platform"
)

// Offsets of ports from the first port for traffic between hosts, which serves calls and
// heartbeats.
const (
	metricsPort = 1
	relayPort   = 2
)

const (
	// memoryShare is the fraction of the host's memory that the Go heap may use.
	memoryShare = 0.7
	// contentMemoryShare is the fraction of the host's memory for the contents of stored turns,
	// and requestMemoryShare that for the long bodies and histories of requests in progress.
	contentMemoryShare = 0.12
	requestMemoryShare = 0.2
	// sweepInterval is how often idle connections to replicas are checked.
	sweepInterval = time.Second
	// servingCheckInterval is how often the host checks whether it can serve callers.
	servingCheckInterval = 200 * time.Millisecond
	// preloadInterval is how often the partitions that may move to this host are
	// preloaded.
	preloadInterval = time.Second
	// quarantineCheckInterval is how often the host checks whether it must repeat a notice.
	quarantineCheckInterval = 200 * time.Millisecond
	// preloadDelay is the time in which a new host receives heartbeats from all
	// others.
	preloadDelay = 1500 * time.Millisecond
	// resolveTTL is how long a client should cache a directory response.
	resolveTTL = 2 * time.Second
)

// gatewayProcess is one host on the users' platform.
type gatewayProcess struct {
	settings platform.Settings
	path     string
	events   *event.Logger
	// droppedLines returns the number of dropped log lines.
	droppedLines func() uint64
	// reload receives the signals to reload the settings file.
	reload <-chan os.Signal

	table      *peers.Table
	overload   peers.OverloadDetector
	registry   *peers.Registry
	beacon     *peers.Beacon
	owner      *turns.Owner
	client     *turns.Client
	limiter    *quota.Limiter
	admission  *admission.Owner
	balance    *balance.Owner
	pacer      *pacing.Pacer
	quarantine *quarantine.Table
	config     *gateway.ConfigWatcher
	// evacuations is what the host knows of evacuated failure domains, and follower confirms it.
	evacuations *evacuation.Knowledge
	follower    *evacuation.Follower
	discovery   *gateway.Discovery
	replicas    *replica.Set
	pool        *forward.Pool
	hostPool    *forward.Pool
	sender      *relay.Sender
	gateway     *gateway.Gateway
	// intake limits the connections of all listeners, by capacity.
	intake     *intake.Intake
	capacity   intake.Capacity
	peerServer *peers.Server
	turns      *turns.Service
}

// newGatewayProcess creates the components of a host.
func newGatewayProcess(s platform.Settings, path string, events *event.Logger) (*gatewayProcess, error) {
	debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	memory := int64(s.MemoryMB) << 20
	p := &gatewayProcess{settings: s, path: path, events: events, capacity: intake.CapacityOf(memory, s.Descriptors)}
	p.intake = intake.New(p.capacity.HeadBytes, events)
	p.intake.RegisterMetrics()
	monitor := storelog.NewMonitor()
	p.table = peers.NewTable(peers.Host{
		ID: s.Host, Incarnation: time.Now().UnixMicro(), Domain: s.Domain, Entry: s.Frontend,
		Addr: net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort)), Cores: s.Cores,
		Relay: net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort+relayPort)),
	}, monitor.Healthy)
	p.table.SetOverloaded(p.overload.Overloaded)
	store := platform.NewStore(s.Store, monitor)
	p.registry = peers.NewRegistry(p.table, store, events)
	limiter := quota.NewLimiter(quota.Bound{Window: s.RateWindow, Excess: s.RateExcess, Slack: s.RateSlack}, p.table.Counts)
	peerCaller := peers.NewCaller(p.table)
	p.limiter = limiter
	p.pacer = pacing.NewPacer(p.table.Counts)
	p.client = turns.NewClient(p.table, peerCaller, monitor.AnswerTime)
	p.owner = turns.NewOwner(p.table.Self(), store, p.client, s.StorePartitions, events)
	p.owner.SetLimits(turnLimits(s))
	p.owner.SetBackups(p.client)
	p.client.SetOwner(p.owner)
	var err error
	quotaClient := quota.NewClient(p.table, peerCaller, limiter)
	p.replicas = replica.NewSet(s.Domain, events)
	if s.ScarceCapacity {
		p.replicas.CoordinateAll()
	}
	p.replicas.SetRegions(s.Regions())
	p.quarantine = quarantine.NewTable(p.table, func(n peers.Notice) { p.beacon.Broadcast(n) }, events)
	p.admission = admission.NewOwner(p.replicas.Slots, p.table.Counts)
	admissionClient := admission.NewClient(p.table, peerCaller, p.admission, p.replicas.CoordinatedInFlight)
	p.balance = balance.NewOwner(p.replicas, p.admission)
	p.beacon, err = peers.NewBeacon(p.table, quotaClient.UsageReports, p.receive, events)
	if err != nil {
		return nil, err
	}
	p.beacon.SetInFlight(func() peers.InFlightReports { return p.inFlightReports(admissionClient.Reports()) })
	p.replicas.OnLimit(p.announceLimit)
	p.replicas.OnLeaving(p.announceLeaving)
	p.replicas.OnCold(p.announceCold)
	p.evacuations = evacuation.NewKnowledge(s.EvacuationBound, p.replicas.SetEvacuated)
	configReader := platform.NewConfigReader(store, s.AccountsEnabled, events)
	configReader.FollowEvacuations(s, p.evacuations.LearnRead)
	p.config = gateway.NewConfigWatcher(configReader, s.KeyFreshness, p.table.Known, p.configure, events)
	p.follower = evacuation.NewFollower(p.evacuations, p.table, peerCaller, p.config, events)
	p.discovery = gateway.NewDiscovery(platform.NewReplicaReader(store, events), p.replicas, p.table.Known)
	p.pool, p.hostPool = forward.NewPool(), forward.NewPoolWith(peers.NewDialer(p.table.Self()))
	p.sender = relay.NewSender(p.table, p.pool, p.hostPool, events)
	p.table.SetStranded(p.sender.Stranded)
	p.gateway = gateway.New(gateway.Dependencies{Codec: platform.Codec{}, Config: p.config, Quota: quotaClient, Costs: quota.NewCostEstimator(),
		Admission: admissionClient, Coordinated: p.replicas.Coordinated, Balancer: balance.NewClient(p.table, peerCaller, p.balance, p.replicas), Evacuations: p.follower,
		Replicas: p.replicas, Pacing: pacing.NewClient(p.table, peerCaller, p.pacer), Sender: p.sender, Turns: p.client,
		Quarantine: p.quarantine, Events: events, MemoryBytes: int64(requestMemoryShare * float64(s.MemoryMB) * (1 << 20)),
		StoreReachableElsewhere: p.table.StoreReachableElsewhere})
	return p, nil
}

// configure applies a new version of the configuration.
func (p *gatewayProcess) configure(t *route.Table) {
	p.limiter.Configure(t)
	p.replicas.Configure(t)
}

// turnLimits returns the limits of the owner of turns. Settings that are missing keep their default.
func turnLimits(s platform.Settings) turns.Limits {
	limits := turns.DefaultLimits()
	if s.RecordBytes > 0 {
		limits.RecordBytes = s.RecordBytes
	}
	if s.AppendBytes > 0 {
		limits.AppendBytes = s.AppendBytes
	}
	if s.MemoryMB > 0 {
		limits.ContentBytes = int(contentMemoryShare * float64(s.MemoryMB) * (1 << 20))
	}
	return limits
}

// run serves requests until ctx ends, then drains.
func (p *gatewayProcess) run(ctx context.Context) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	frontend := &http.Server{Handler: p.gateway, ConnContext: gateway.ConnContext}
	relays := &http.Server{Handler: p.gateway.RelayHandler(p.table.IsHost)}
	group, runCtx := errgroup.WithContext(ctx)
	listeners := p.endpoints(frontend, relays)
	if err := p.servePeers(); err != nil {
		return err
	}
	for _, l := range listeners {
		listener, err := net.Listen("tcp", l.addr)
		if err != nil {
			return oops.Wrapf(err, "listen on %s", l.addr)
		}
		listener = p.intake.Listen(listener, l.options)
		intake.Configure(l.server)
		if l.server == frontend {
			listener = p.gateway.CallerListener(listener, unusedTimeout)
		}
		group.Go(func() error {
			if err := l.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return oops.Wrapf(err, "serve on %s", l.addr)
			}
			return nil
		})
	}
	p.startBackground(background)
	p.events.Log(event.HostStarted, event.Fields{"host": p.settings.Host, "zone": p.settings.Domain, "first_start": p.settings.FirstStart})
	<-runCtx.Done()
	if ctx.Err() != nil {
		p.drain(frontend, relays)
	}
	for _, l := range listeners {
		// Connections that are still open are closed when the process exits.
		_ = l.server.Close()
	}
	err := group.Wait()
	p.events.Log(event.HostStopped, event.Fields{"host": p.settings.Host, "active": p.gateway.Active(), "lines_dropped": p.droppedLines()})
	return err
}

// startBackground starts the background tasks.
func (p *gatewayProcess) startBackground(ctx context.Context) {
	go p.overload.Run(ctx)
	go p.beacon.Receive()
	go p.beacon.Run(ctx)
	go p.registry.Run(ctx)
	go p.config.Run(ctx)
	go p.follower.Run(ctx)
	go p.discovery.Run(ctx)
	go p.owner.Sweep(ctx, p.client.Owns)
	go p.sender.Run(ctx)
	go every(ctx, sweepInterval, p.pool.Sweep)
	go every(ctx, sweepInterval, p.hostPool.Sweep)
	go every(ctx, quarantineCheckInterval, p.quarantine.Repeat)
	go every(ctx, leavingInterval, func() { p.announceLeaving(p.replicas.ToldLeaving()) })
	go p.preload(ctx)
	go every(ctx, servingCheckInterval, func() { p.table.SetServing(p.ready()) })
	go p.handleReloads(ctx)
}

// preload loads and takes over the partitions that move to this host, once the other hosts are
// known.
func (p *gatewayProcess) preload(ctx context.Context) {
	select {
	case <-time.After(preloadDelay):
	case <-ctx.Done():
	}
	every(ctx, preloadInterval, func() { p.client.FollowHosts(ctx) })
}

// every calls f immediately and then at each interval, until ctx ends.
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

// ready reports whether the host can accept requests from callers.
func (p *gatewayProcess) ready() bool {
	return p.config.Fresh() && p.discovery.Loaded() && !p.gateway.Draining()
}

// entryAddresses returns the entry addresses for callers in a failure domain.
func (p *gatewayProcess) entryAddresses(domain string) []string {
	hosts := p.table.Serving(domain)
	addresses := make([]string, len(hosts))
	for i, h := range hosts {
		addresses[i] = h.Entry
	}
	return addresses
}

// servePeers starts the RPC server for other hosts.
func (p *gatewayProcess) servePeers() error {
	server := rpc.NewServer()
	p.turns = turns.NewService(p.owner, p.client.Owns, p.events)
	if err := server.RegisterName(turns.ServiceName, p.turns); err != nil {
		return oops.Wrapf(err, "register RPC service")
	}
	if err := server.RegisterName(quota.ServiceName, quota.NewService(p.limiter, p.events)); err != nil {
		return oops.Wrapf(err, "register RPC service")
	}
	if err := server.RegisterName(pacing.ServiceName, pacing.NewService(p.pacer, p.events)); err != nil {
		return oops.Wrapf(err, "register RPC service")
	}
	if err := server.RegisterName(admission.ServiceName, admission.NewService(p.admission, p.events)); err != nil {
		return oops.Wrapf(err, "register RPC service")
	}
	if err := server.RegisterName(balance.ServiceName, balance.NewService(p.balance, p.events)); err != nil {
		return oops.Wrapf(err, "register RPC service")
	}
	if err := server.RegisterName(evacuation.ServiceName, evacuation.NewService(p.evacuations, p.events)); err != nil {
		return oops.Wrapf(err, "register RPC service")
	}
	listener, err := net.Listen("tcp", p.table.Self().Addr)
	if err != nil {
		return oops.Wrapf(err, "listen for peer calls")
	}
	listener = p.intake.Listen(listener, intake.Options{Name: "peers", Connections: p.capacity.Hosts, Trusted: p.table.IsHost, Raw: true})
	p.peerServer = peers.NewServer(server, p.events)
	p.peerServer.SetMemory(p.callMemory())
	go func() {
		// The listener is open until the server shuts down.
		_ = p.peerServer.Serve(listener)
	}()
	return nil
}

// handleReloads reloads the settings file on each signal. An invalid file is ignored.
func (p *gatewayProcess) handleReloads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.reload:
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

// metricsHandler serves the metrics in the Prometheus text format.
func metricsHandler(replicas *replica.Set) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
		writeEvacuations(w, replicas.Evacuations())
		writeColdReplicas(w, replicas.ColdReplicas())
	})
	return mux
}
