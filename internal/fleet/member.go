package fleet

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/logservice"
	"cowslipgw/internal/structs"
)

const (
	// HeartbeatInterval is the time between two heartbeats to the same watcher.
	HeartbeatInterval = time.Second
	// SuspicionTimeout is the time without a heartbeat after which a watcher suspects a host.
	SuspicionTimeout = 3 * time.Second
	// isolatedSuspicionDelay is how long a watcher defers its suspicions while it receives
	// heartbeats from fewer than half of the hosts that it watches.
	isolatedSuspicionDelay = 10 * time.Second
	// reconcileInterval is the time between two runs of Member.reconcile.
	reconcileInterval = 250 * time.Millisecond
	// appendTimeout bounds one append. The next reconcile starts another one if it is
	// still needed.
	appendTimeout = 10 * time.Second
	// maxRecentViews is the number of views that a member retains.
	maxRecentViews = 64
)

// Config configures a Member.
type Config struct {
	// Self describes this host. Its Incarnation is not used.
	Self     Host
	Appender Appender
	Caller   Caller
	Logger   *event.Logger
	// Retention is how long the log keeps records. A snapshot is due when the last one is
	// older than a quarter of it. 0 disables snapshots.
	Retention time.Duration
	// OnEvicted is called when this process is no longer in the view although it is not
	// leaving, before it joins again.
	OnEvicted func()
}

// Member takes part in the fleet on behalf of this host. It joins the fleet, exchanges
// heartbeats, and appends suspicions of failed hosts. It is the logservice.Handler of
// the membership stream and implements HistoryViewer. It is safe for concurrent use.
type Member struct {
	config  Config
	sources map[string]Source
	started time.Time
	view    atomic.Pointer[View]
	// wake triggers a reconcile before the next tick.
	wake chan struct{}
	// appends holds the appends and probes in flight, keyed by their purpose.
	appends *inFlight

	mu            sync.Mutex
	state         *State
	views         []*View
	fromStart     bool
	changed       chan struct{}
	incarnation   structs.Incarnation
	joinID        string
	joinOffset    structs.Offset
	leaving       bool
	replaced      bool // another process joined under this host's ID
	evictedAt     time.Time
	probedAt      time.Time
	gossip        *gossip
	echoes        map[structs.HostID]echo
	watch         watchPlan
	isolatedSince time.Time
	lastReconcile time.Time
	snapshotAt    time.Time
	pulling       map[string]bool
}

// echo is the Stamp of a watcher's last heartbeat reply and its arrival time.
type echo struct {
	stamp int64
	at    time.Time
}

// NewMember returns a member with an empty state. Streams must be added with AddSource
// before Run is called.
func NewMember(config Config) *Member {
	if config.Logger == nil {
		config.Logger = event.Discard()
	}
	if config.OnEvicted == nil {
		config.OnEvicted = func() {}
	}
	now := time.Now()
	m := &Member{
		config:        config,
		sources:       make(map[string]Source),
		started:       now,
		wake:          make(chan struct{}, 1),
		appends:       newInFlight(),
		state:         NewState(),
		fromStart:     true,
		changed:       make(chan struct{}),
		gossip:        newGossip(),
		echoes:        make(map[structs.HostID]echo),
		lastReconcile: now,
		snapshotAt:    now,
		pulling:       make(map[string]bool),
	}
	m.view.Store(&View{})
	return m
}

// AddSource sets the source of a stream. Freshness takes the stream into account, and
// its records are forwarded to peers.
func (m *Member) AddSource(stream string, source Source) {
	m.sources[stream] = source
}

// View returns the newest view that this host has derived from the log.
func (m *Member) View() *View { return m.view.Load() }

// Self returns the ID of this host.
func (m *Member) Self() structs.HostID { return m.config.Self.ID }

// Changed returns a channel that is closed when a newer view is published.
func (m *Member) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Recent returns the newest consecutive views, from the oldest to the current one.
// fromStart is set if no view existed before the first one returned.
func (m *Member) Recent() (views []*View, fromStart bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]*View(nil), m.views...), m.fromStart
}

// Incarnation returns the offset of this process's join record, or 0 if the process is
// not in the view.
func (m *Member) Incarnation() structs.Incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.incarnation
}

// Apply applies records of the membership stream. It implements logservice.Handler.
func (m *Member) Apply(records []logservice.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, record := range records {
		effect := m.state.Apply(record)
		m.applyEffectLocked(record, effect)
	}
	m.watch = planWatch(m.state, m.View(), m.config.Self.ID, m.watch, time.Now())
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Trimmed handles the trim of unread records of the membership stream. It implements
// logservice.Handler.
func (m *Member) Trimmed(first structs.Offset) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.MarkTrimmed(first)
	m.fromStart = false
}

// applyEffectLocked logs the effect of a record and publishes the view that it changed.
func (m *Member) applyEffectLocked(record logservice.Record, effect Effect) {
	if effect.Kind == KindSnapshot {
		m.snapshotAt = time.Now()
	}
	if effect.Joined != nil && record.ID == m.joinID {
		m.incarnation = effect.Joined.Incarnation
		m.config.Logger.Log(event.FleetJoined, event.Fields{"incarnation": m.incarnation})
	}
	for _, host := range effect.Evicted {
		m.config.Logger.Log(event.FleetHostEvicted, event.Fields{"host": host.ID, "incarnation": host.Incarnation, "view": record.Offset})
	}
	if effect.View != nil {
		m.publishLocked(effect.View, effect.FromSnapshot)
	}
}

// publishLocked makes the view the current one and signals the change. fromSnapshot
// discards the preceding views, because views between them and this one may be missing.
func (m *Member) publishLocked(view *View, fromSnapshot bool) {
	if fromSnapshot {
		m.views = nil
		m.fromStart = false
	}
	m.views = append(m.views, view)
	if len(m.views) > maxRecentViews {
		m.views = append([]*View(nil), m.views[1:]...)
		m.fromStart = false
	}
	m.view.Store(view)
	m.gossip.prune(view)
	for id := range m.echoes {
		if view.Index(id) < 0 {
			delete(m.echoes, id)
		}
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// Run joins the fleet and takes part in it until ctx is done.
func (m *Member) Run(ctx context.Context) {
	var done sync.WaitGroup
	done.Go(func() { m.sendHeartbeats(ctx) })
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		m.reconcile(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-m.wake:
		}
	}
	done.Wait()
	m.appends.wait()
}

// newID returns a unique record ID.
func (m *Member) newID(kind Kind) string {
	return string(kind) + "/" + string(m.config.Self.ID) + "/" + rand.Text()
}
