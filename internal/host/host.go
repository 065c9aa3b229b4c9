package host

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/oops"

	"cowslipgw/internal/account"
	"cowslipgw/internal/checkpoint"
	"cowslipgw/internal/control"
	"cowslipgw/internal/dispatch"
	"cowslipgw/internal/entry"
	"cowslipgw/internal/event"
	"cowslipgw/internal/fleet"
	"cowslipgw/internal/lists"
	"cowslipgw/internal/logservice"
	"cowslipgw/internal/owner"
	"cowslipgw/internal/partition"
	"cowslipgw/internal/placement"
	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
	"cowslipgw/internal/upstream"
)

// Host is an entry host with all its components.
type Host struct {
	options   Options
	listeners listeners

	log         *logservice.Client
	appender    *logservice.Appender
	member      *fleet.Member
	store       *lists.Store
	snapshotter *listsSnapshotter
	followers   []*logservice.Follower

	controlClient *control.Client
	controlServer *control.Server
	manager       *partition.Manager
	checkpoints   *checkpoint.Store
	service       *owner.Service
	owners        *owner.Client
	sweeper       *owner.Sweeper
	limiter       *account.Limiter

	upstreams  *upstream.Client
	directory  *upstream.Directory
	dispatcher *dispatch.Client
	pools      *dispatch.Service
	placement  *placement.Runner

	freshness *freshness
	entry     *entry.Server
	admin     *http.Server
	metrics   *metrics.Set
}

// listeners holds the listening sockets of a host.
type listeners struct {
	entry, admin, control net.Listener
}

// New opens the host's listening sockets and connects its components. Run starts the
// host.
func New(ctx context.Context, options Options) (*Host, error) {
	options.Logger = options.Logger.With(event.Fields{"host": options.Settings.ID})
	opened, err := listen(ctx, options)
	if err != nil {
		return nil, err
	}
	h := &Host{options: options, listeners: opened}
	h.wireLog()
	h.wirePartitions()
	h.wireUpstreams()
	h.wireEntry()
	h.wireMetrics()
	if err := h.registerServices(); err != nil {
		opened.close()
		return nil, err
	}
	return h, nil
}

// listen opens the entry, admin and control sockets.
func listen(ctx context.Context, options Options) (listeners, error) {
	var opened listeners
	sockets := []struct {
		listener *net.Listener
		address  string
	}{
		{&opened.entry, options.Settings.EntryAddress},
		{&opened.admin, options.Settings.AdminAddress},
		{&opened.control, options.Settings.ControlAddress},
	}
	for _, socket := range sockets {
		listener, err := options.Network.Listen(ctx, socket.address)
		if err != nil {
			opened.close()
			return listeners{}, oops.In("host").With("address", socket.address).Wrapf(err, "listen")
		}
		*socket.listener = listener
	}
	return opened, nil
}

// close closes the sockets that were opened.
func (l listeners) close() {
	for _, listener := range []net.Listener{l.entry, l.admin, l.control} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}

// wireLog sets up the log client and the components that follow the log: fleet
// membership and the lists.
func (h *Host) wireLog() {
	s := h.options.Settings
	h.log = logservice.NewClient(h.options.Network, s.Platform.Log)
	h.appender = logservice.NewAppender(h.log, h.options.Logger)
	h.controlClient = control.NewClient(h.options.Network)
	h.member = fleet.NewMember(fleet.Config{
		Self: fleet.Host{
			ID: s.ID, Region: s.Region, Domain: s.Domain,
			EntryAddress:   h.listeners.entry.Addr().String(),
			ControlAddress: h.listeners.control.Addr().String(),
		},
		Appender:  h.appender,
		Caller:    h.controlClient,
		Logger:    h.options.Logger,
		Retention: s.Platform.LogRetention,
	})
	h.store = lists.NewStore(time.Now, h.options.Logger)
	h.follow(fleet.Stream, h.member)
	h.follow(lists.Stream, listsHandler{h.store})
	h.snapshotter = newListsSnapshotter(h.store, h.member.FirstLive, h.appendListsSnapshot, s.Platform.LogRetention, h.options.Logger)
	h.freshness = &freshness{
		logCurrent: h.member.Current, listsComplete: h.store.Complete,
		maxStaleness: s.Limits.ListsStale, logger: h.options.Logger,
	}
}

// follow adds a follower that passes the records of a stream to handler.
func (h *Host) follow(stream string, handler logservice.Handler) {
	follower := logservice.NewFollower(h.log, stream, handler, h.options.Logger, logservice.FollowerOptions{})
	h.followers = append(h.followers, follower)
	h.member.AddSource(stream, follower)
}

// wirePartitions sets up the replicated partitions, their checkpoints and the
// operations on them.
func (h *Host) wirePartitions() {
	limits := program.DefaultLimits
	limits.MemoryHold = h.options.Settings.Limits.ProgramIdle
	limits.Idle = h.options.Settings.Limits.ProgramRetention
	limits.Retention = h.options.Settings.Limits.ClaimRetention
	h.manager = partition.NewManager(partition.Config{
		Views:       h.member,
		Caller:      h.controlClient,
		Logger:      h.options.Logger,
		NewMachine:  func(id partition.ID) partition.StateMachine { return program.New(id, limits) },
		OnLost:      h.restoreLostPartition,
		OnActivated: func(id partition.ID, machine partition.StateMachine) { h.service.OnActivated(id, machine) },
	})
	h.service = owner.NewService(owner.Options{
		Proposer: h.manager, Owned: h.manager, Viewer: h.member, Origin: h.origin, AccountLimits: accountLimits(h.store),
	})
	h.checkpoints = checkpoint.New(checkpoint.Options{
		Log: h.log, Appender: h.appender, Owned: h.manager,
		Empty:      func(machine partition.StateMachine) bool { return program.FromStateMachine(machine).Empty() },
		AppendRate: h.checkpointAppendRate,
		Retention:  h.options.Settings.Platform.LogRetention,
		Logger:     h.options.Logger,
	})
	router := owner.NewRouter(h.locator(), h.controlClient)
	h.owners = owner.NewClient(router, h.service)
	h.limiter = account.NewLimiter(h.owners, h.origin)
}

// wireUpstreams sets up the upstream client, the replica pools and their dispatchers,
// and the release of engine memory.
func (h *Host) wireUpstreams() {
	s := h.options.Settings.Upstream
	h.upstreams = upstream.NewClient(upstream.ClientOptions{
		Network: h.options.Network, Credential: s.Credential, FirstByteTimeout: s.FirstByteTimeout,
		AnswerTimeout: s.AnswerTimeout, StreamIdleTimeout: s.StreamIdleTimeout, AnswerLimit: s.AnswerLimit,
	})
	h.directory = upstream.NewDirectory(upstream.DirectoryOptions{
		Client: h.upstreams, HostList: h.options.Settings.Platform.HostList,
		PollInterval: s.PollInterval, LoadPollInterval: s.LoadPollInterval, Logger: h.options.Logger,
	})
	owners := poolOwners{h.locator()}
	limits := dispatch.DefaultLimits()
	limits.Wait = h.options.Settings.Limits.QueueTimeout
	h.pools = dispatch.NewService(dispatch.ServiceOptions{
		Host: h.options.Settings.ID, Owners: owners, Directory: dispatchDirectory{h.directory, h}, Limits: limits, Log: h.options.Logger,
	})
	h.dispatcher = dispatch.NewClient(dispatch.ClientOptions{
		Origin: h.origin, Owners: owners, Directory: h.directory, Service: h.pools,
		Control: h.controlClient, Limits: limits, Log: h.options.Logger,
	})
	h.sweeper = owner.NewSweeper(h.service, owner.SweeperOptions{
		Control: h.controlClient, Directory: h.directory, Orders: h.upstreams, Logger: h.options.Logger,
	})
	h.wirePlacement()
}

// wireEntry sets up the HTTP servers for callers and operators.
func (h *Host) wireEntry() {
	h.entry = entry.New(entry.Options{
		Programs: h.owners, Claims: h.owners, Rates: accountRates{h.limiter}, Lists: h.store,
		Freshness: h.freshness, Hosts: h.member, Dispatcher: h.dispatcher, Upstream: h.upstreams,
		Logger: h.options.Logger, Tracer: h.options.Tracer, Limits: h.options.Settings.Limits,
	})
	h.admin = entry.NewAdmin(operator{h}).Server()
}

// registerServices registers the control services that other hosts call.
func (h *Host) registerServices() error {
	h.controlServer = control.NewServer()
	if err := h.controlServer.Register(fleet.ServiceName, fleet.NewService(h.member)); err != nil {
		return err
	}
	if err := h.controlServer.Register(partition.ServiceName, partition.NewService(h.manager)); err != nil {
		return err
	}
	if err := h.controlServer.Register(peerService, &PeerRPC{h}); err != nil {
		return err
	}
	if err := owner.Register(h.controlServer, h.service, h.options.Tracer); err != nil {
		return err
	}
	return dispatch.RegisterService(h.controlServer, h.pools, h.options.Tracer)
}

func (h *Host) locator() *locator {
	return &locator{member: h.member, manager: h.manager}
}

// origin identifies this host and its current incarnation.
func (h *Host) origin() structs.Origin {
	return structs.Origin{Host: h.options.Settings.ID, Incarnation: h.member.Incarnation()}
}

// EntryAddress returns the "ip:port" address that callers connect to.
func (h *Host) EntryAddress() string { return h.listeners.entry.Addr().String() }

// AdminAddress returns the "ip:port" address that operators connect to.
func (h *Host) AdminAddress() string { return h.listeners.admin.Addr().String() }

// checkpointAppendRate returns how many appends per second this host may use for
// checkpoints. It is half of the host's share of the log's append rate, so that
// checkpoints never delay membership records and lists.
func (h *Host) checkpointAppendRate() float64 {
	return logservice.FleetAppendRate / 2 / float64(max(1, len(h.member.View().Hosts)))
}

// restoreLostPartition restores a partition that may have lost all copies of its newest
// state from its latest checkpoint. It marks the partition as having lost data, so that
// idempotency keys that may have been used after the checkpoint get an unknown outcome.
func (h *Host) restoreLostPartition(id partition.ID, base partition.Base, machine partition.StateMachine) {
	fields := event.Fields{"partition": id}
	h.options.Logger.Log(event.CopiesLost, fields)
	restored, state, err := h.checkpoints.Restore(id, base)
	if err == nil {
		err = machine.Restore(state)
	}
	switch {
	case err == nil:
		fields["view"], fields["seq"] = restored.Activated, restored.Seq
		h.options.Logger.Log(event.CheckpointRestored, fields)
	case !errors.Is(err, checkpoint.ErrNotFound):
		fields["error"] = err.Error()
		h.options.Logger.Log(event.CheckpointRestoreFailed, fields)
	}
	h.service.MarkDataLoss(machine)
}
