package partition

import (
	"context"
	"sync"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/fleet"
	"cowslipgw/internal/structs"
)

const (
	// viewCatchUpTimeout is how long a host whose view is older than the sender's waits
	// to reach the sender's view.
	viewCatchUpTimeout = 500 * time.Millisecond
	// callTimeout limits a call between hosts that carries little data.
	callTimeout = time.Second
	// transferTimeout limits a call that carries snapshots.
	transferTimeout = 5 * time.Second
	// minRetryBackoff is the first delay between two attempts of a replication or
	// recovery. It doubles up to maxRetryBackoff, since an outage of the log can leave
	// many partitions with a dead replica for hours.
	minRetryBackoff = 50 * time.Millisecond
	maxRetryBackoff = time.Second
	// statusInterval is how often a host asks owners whether it may drop old copies.
	statusInterval = time.Second
	// maxTableHistory is the number of most recent tables that a host keeps.
	maxTableHistory = 64
)

// Config configures a Manager.
type Config struct {
	Views  fleet.HistoryViewer
	Caller fleet.Caller
	Logger *event.Logger
	// NewMachine returns an empty state machine for a partition.
	NewMachine func(ID) StateMachine
	// OnActivated is called under the partition's lock when this host starts serving the
	// partition as its owner. It must not block.
	OnActivated func(ID, StateMachine)
	// OnLost is called when a partition may have lost all copies of its newest state. The
	// machine holds the best copy found, whose base is passed along, or is empty; the
	// callback restores what it can. No lock is held, and no operation runs on the
	// machine during the call.
	OnLost func(ID, Base, StateMachine)
}

// Manager holds this host's copies of the partitions and runs operations on the
// partitions that the host owns. It is safe for concurrent use. Lock order: Manager.mu,
// then replica.mu.
type Manager struct {
	config   Config
	self     structs.HostID
	replicas [Count]*replica
	peers    *peers
	tasks    taskGroup
	// ctx ends when Run returns and bounds all calls to other hosts.
	ctx     context.Context
	cancel  context.CancelFunc
	stopped <-chan struct{}

	mu sync.RWMutex
	// history holds the most recent tables without gaps, the current one last. It is
	// empty before the first view.
	history []*Table
	// fromStart means that history begins with the first view of the fleet.
	fromStart bool
	// incarnation is this process's incarnation in the current view, or 0 if the
	// process is not part of the view.
	incarnation structs.Incarnation
	// changed is closed and replaced when the view changes.
	changed chan struct{}
}

// NewManager returns a manager without copies. The caller registers its service; see
// NewService.
func NewManager(config Config) *Manager {
	if config.Logger == nil {
		config.Logger = event.Discard()
	}
	if config.OnActivated == nil {
		config.OnActivated = func(ID, StateMachine) {}
	}
	if config.OnLost == nil {
		config.OnLost = func(ID, Base, StateMachine) {}
	}
	m := &Manager{config: config, self: config.Views.Self(), changed: make(chan struct{})}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.stopped = m.ctx.Done()
	for id := range m.replicas {
		m.replicas[id] = newReplica(ID(id))
	}
	m.peers = newPeers(m)
	return m
}

// Run follows view changes until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	var recovery *recovery
	for ctx.Err() == nil {
		changed := m.config.Views.Changed()
		if m.advanceView() {
			recovery.stop()
			recovery = m.startRecovery(ctx)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-ticker.C:
			m.pollOwnerStatus(ctx)
		}
	}
	recovery.stop()
	m.cancel()
	m.tasks.close()
}

// Table returns the table of the current view, or nil before the first view.
func (m *Manager) Table() *Table {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.tableLocked()
}

func (m *Manager) tableLocked() *Table {
	if len(m.history) == 0 {
		return nil
	}
	return m.history[len(m.history)-1]
}

func (m *Manager) numberLocked() structs.ViewNumber {
	if table := m.tableLocked(); table != nil {
		return table.Number()
	}
	return 0
}

// ownsLocked reports whether this process owns the partition in the current view.
func (m *Manager) ownsLocked(id ID) bool {
	table := m.tableLocked()
	if table == nil || m.incarnation == 0 {
		return false
	}
	owner, found := table.Owner(id)
	return found && owner.ID == m.self
}

// isReplicaLocked reports whether this process is a replica of the partition in the
// current view.
func (m *Manager) isReplicaLocked(id ID) bool {
	table := m.tableLocked()
	return table != nil && m.incarnation != 0 && table.Holds(id, m.self)
}

func (m *Manager) senderLocked() Sender {
	return Sender{Host: m.self, Incarnation: m.incarnation, View: m.numberLocked()}
}

// waitBackoff waits for delay before the next attempt. It returns early when the view
// changes or ctx ends.
func (m *Manager) waitBackoff(ctx context.Context, delay time.Duration) {
	m.mu.RLock()
	changed := m.changed
	m.mu.RUnlock()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// awaitView waits until this host has reached the view, for at most viewCatchUpTimeout.
func (m *Manager) awaitView(view structs.ViewNumber) {
	timer := time.NewTimer(viewCatchUpTimeout)
	defer timer.Stop()
	for {
		m.mu.RLock()
		number, changed := m.numberLocked(), m.changed
		m.mu.RUnlock()
		if number >= view {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-m.stopped:
			return
		}
	}
}
