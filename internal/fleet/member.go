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
	// HeartbeatEvery is the time between two heartbeats.
	HeartbeatEvery = time.Second
	// SuspectAfter is how long a watched host may be silent.
	SuspectAfter = 3 * time.Second
	// isolatedWait is how long a watcher that hears from fewer than half of the hosts
	// it watches holds back its suspicions.
	isolatedWait = 10 * time.Second
	// stepEvery is the time between two looks at what is to be appended.
	stepEvery = 250 * time.Millisecond
	// appendTimeout bounds one append; the next step decides anew what is needed.
	appendTimeout = 10 * time.Second
	// recentViews is how many views a member remembers.
	recentViews = 64
)

// Config configures a Member.
type Config struct {
	// Self is this host, without incarnation.
	Self     Host
	Appender Appender
	Caller   Caller
	Logger   *event.Logger
	// Retention is how long the log keeps records; a quarter of it passes at most
	// between two snapshot records. 0 means that no snapshots are appended.
	Retention time.Duration
	// OnEvicted is called when this host finds itself missing from the view, before it
	// joins again.
	OnEvicted func()
}

// Member is this host as a member of the fleet. It follows the membership stream
// as the handler of its log follower, and implements Historian. It is safe for
// concurrent use.
type Member struct {
	config  Config
	sources map[string]Source
	started time.Time
	view    atomic.Pointer[View]
	// poke wakes the step loop.
	poke chan struct{}
	// appends are the appends in flight, by what they state.
	appends *inFlight

	mu          sync.Mutex
	state       *State
	views       []*View
	fromStart   bool
	changed     chan struct{}
	incarnation structs.Incarnation
	joinID      string
	joinOffset  structs.Offset
	stopping    bool
	replaced    bool
	evictedAt   time.Time
	probed      time.Time
	gossip      *gossip
	echoes      map[structs.HostID]echo
	watch       watchPlan
	isolated    time.Time
	lastStep    time.Time
	snapshotAt  time.Time
	pulling     map[string]bool
}

// echo is the stamp of a watcher's last answer and when it arrived.
type echo struct {
	stamp int64
	at    time.Time
}

// NewMember returns a member that has folded nothing yet. Sources are added with
// AddSource before Run.
func NewMember(config Config) *Member {
	if config.Logger == nil {
		config.Logger = event.Discard()
	}
	if config.OnEvicted == nil {
		config.OnEvicted = func() {}
	}
	now := time.Now()
	m := &Member{
		config:     config,
		sources:    make(map[string]Source),
		started:    now,
		poke:       make(chan struct{}, 1),
		appends:    newInFlight(),
		state:      NewState(),
		fromStart:  true,
		changed:    make(chan struct{}),
		gossip:     newGossip(),
		echoes:     make(map[structs.HostID]echo),
		lastStep:   now,
		snapshotAt: now,
		pulling:    make(map[string]bool),
	}
	m.view.Store(&View{})
	return m
}

// AddSource names the follower of a stream. The stream counts for freshness and is
// forwarded to peers.
func (m *Member) AddSource(stream string, source Source) {
	m.sources[stream] = source
}

// View returns the newest view that this host has folded.
func (m *Member) View() *View { return m.view.Load() }

// Self names this host.
func (m *Member) Self() structs.HostID { return m.config.Self.ID }

// Changed returns a channel that is closed when a newer view exists.
func (m *Member) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// Recent returns the newest views without a gap between them.
func (m *Member) Recent() (views []*View, fromStart bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]*View(nil), m.views...), m.fromStart
}

// Incarnation is the offset of this host's join record, or 0 when it is not in the
// view.
func (m *Member) Incarnation() structs.Incarnation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.incarnation
}

// Apply folds records of the membership stream.
func (m *Member) Apply(records []logservice.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, record := range records {
		effect := m.state.Fold(record)
		m.takeEffect(record, effect)
	}
	m.watch = planWatch(m.state, m.View(), m.config.Self.ID, m.watch, time.Now())
	select {
	case m.poke <- struct{}{}:
	default:
	}
}

// Trimmed says that records of the membership stream are gone.
func (m *Member) Trimmed(first structs.Offset) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state.Trimmed(first)
	m.fromStart = false
}

func (m *Member) takeEffect(record logservice.Record, effect Effect) {
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
		m.publish(effect.View, effect.Jumped)
	}
}

// publish makes a view the current one.
func (m *Member) publish(view *View, jumped bool) {
	if jumped {
		m.views = nil
		m.fromStart = false
	}
	m.views = append(m.views, view)
	if len(m.views) > recentViews {
		m.views = append([]*View(nil), m.views[1:]...)
		m.fromStart = false
	}
	m.view.Store(view)
	m.gossip.keep(view)
	for id := range m.echoes {
		if view.Index(id) < 0 {
			delete(m.echoes, id)
		}
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// Run joins the fleet and takes part in it until ctx ends.
func (m *Member) Run(ctx context.Context) {
	var done sync.WaitGroup
	done.Go(func() { m.heartbeats(ctx) })
	ticker := time.NewTicker(stepEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		m.step(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-m.poke:
		}
	}
	done.Wait()
	m.appends.wait()
}

// newID returns a record ID that no other append uses.
func (m *Member) newID(kind Kind) string {
	return string(kind) + "/" + string(m.config.Self.ID) + "/" + rand.Text()
}
