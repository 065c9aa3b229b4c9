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
	// catchUpWait is how long a host at an older view than the sender waits for its fold.
	catchUpWait = 500 * time.Millisecond
	// callTimeout bounds one call between hosts that carries little data.
	callTimeout = time.Second
	// transferTimeout bounds one call that carries snapshots.
	transferTimeout = 5 * time.Second
	// retryPause is the first pause between two tries of a replication or recovery. It
	// doubles up to longestPause, since an outage of the log can leave many partitions
	// with a dead replica for hours.
	retryPause   = 50 * time.Millisecond
	longestPause = time.Second
	// statusEvery is the time between two questions whether old copies may go.
	statusEvery = time.Second
	// keptTables is how many tables a host remembers.
	keptTables = 64
)

// Config configures a Manager.
type Config struct {
	Views  fleet.Historian
	Caller fleet.Caller
	Logger *event.Logger
	// New returns an empty machine for a partition.
	New func(ID) Machine
	// Activated is called under the partition's lock when this host starts to serve as
	// its owner. It must not block.
	Activated func(ID, Machine)
	// Lost is called when a partition may have lost all copies of its newest state. The
	// machine holds the best copy found, which has the base, or is empty; the host
	// restores what it can. No lock is held and no operation runs on the machine meanwhile.
	Lost func(ID, Base, Machine)
}

// Manager holds this host's copies of the partitions and runs operations at the
// owner. It is safe for concurrent use. Locks are taken in the order table (mu),
// then replica.
type Manager struct {
	config   Config
	self     structs.HostID
	replicas [Count]*replica
	peers    *peers
	work     tasks
	// ctx ends with Run and bounds all calls to other hosts.
	ctx     context.Context
	cancel  context.CancelFunc
	stopped <-chan struct{}

	mu sync.RWMutex
	// history holds the newest tables without a gap, the current one last. It is empty
	// before the first view.
	history   []*Table
	fromStart bool
	// incarnation is that of this process in the current view, or 0.
	incarnation structs.Incarnation
	changed     chan struct{}
}

// NewManager returns a manager without copies. Its service is registered by the
// caller; see NewService.
func NewManager(config Config) *Manager {
	if config.Logger == nil {
		config.Logger = event.Discard()
	}
	if config.Activated == nil {
		config.Activated = func(ID, Machine) {}
	}
	if config.Lost == nil {
		config.Lost = func(ID, Base, Machine) {}
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

// Run follows the views until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(statusEvery)
	defer ticker.Stop()
	var recovery *recovery
	for ctx.Err() == nil {
		changed := m.config.Views.Changed()
		if m.adopt() {
			recovery.end()
			recovery = m.startRecovery(ctx)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-ticker.C:
			m.askStatus(ctx)
		}
	}
	recovery.end()
	m.cancel()
	m.work.close()
}

// Table returns the table of the current view, or nil before the first one.
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

// holdsLocked reports whether this process is a replica in the current view.
func (m *Manager) holdsLocked(id ID) bool {
	table := m.tableLocked()
	return table != nil && m.incarnation != 0 && table.Holds(id, m.self)
}

func (m *Manager) senderLocked() Sender {
	return Sender{Host: m.self, Incarnation: m.incarnation, View: m.numberLocked()}
}

// pause waits before another try, until the view changes or ctx ends.
func (m *Manager) pause(ctx context.Context, pause time.Duration) {
	m.mu.RLock()
	changed := m.changed
	m.mu.RUnlock()
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}

// await waits until this host has folded the view or the time is over.
func (m *Manager) await(view structs.ViewNumber) {
	timer := time.NewTimer(catchUpWait)
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
