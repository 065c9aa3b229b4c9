package storelog

import (
	"sync"
	"time"
)

// overdue is how long a call may take beside the time that it asks the store to wait.
// A store that is well answers in a few milliseconds.
const overdue = 150 * time.Millisecond

// answeredMemory is how long an answer outweighs calls that fail or are overdue. The store
// may lose single answers while it serves the host.
const answeredMemory = 200 * time.Millisecond

// Monitor judges from the calls of a store whether this host reaches it. Its methods
// are safe for concurrent use.
type Monitor struct {
	mu sync.Mutex
	// pending holds the times at which calls under way become overdue.
	pending map[uint64]time.Time
	next    uint64
	// failing says that the call that ended last failed, and answered is when one was
	// answered last.
	failing  bool
	answered time.Time
}

// NewMonitor returns a monitor that has seen no call.
func NewMonitor() *Monitor { return &Monitor{pending: make(map[uint64]time.Time)} }

// Start notes a call that asks the store to wait. The returned function notes its end;
// answered says that the store answered and did not refuse for its own reasons.
func (m *Monitor) Start(wait time.Duration) func(answered bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := m.next
	m.next++
	m.pending[id] = time.Now().Add(wait + overdue)
	return func(answered bool) {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.pending, id)
		m.failing = !answered
		if answered {
			m.answered = time.Now()
		}
	}
}

// Healthy reports whether a call was answered lately, or the last one was answered and none
// is overdue.
func (m *Monitor) Healthy() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if now.Sub(m.answered) < answeredMemory {
		return true
	}
	if m.failing {
		return false
	}
	for _, due := range m.pending {
		if now.After(due) {
			return false
		}
	}
	return true
}
