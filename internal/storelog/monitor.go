package storelog

import (
	"sync"
	"time"
)

// overdueAfter is how long a call may take in addition to the time that it asks the store to
// wait. A healthy store answers within a few milliseconds.
const overdueAfter = 150 * time.Millisecond

// answerGrace is how long after an answer the store counts as reachable in spite of failed
// or overdue calls. The store may lose single answers while it serves the host.
const answerGrace = 200 * time.Millisecond

// Monitor determines from the outcomes of calls whether this host reaches the store. Its
// methods are safe for concurrent use.
type Monitor struct {
	mu sync.Mutex
	// pending holds the times at which the calls in flight become overdue.
	pending map[uint64]time.Time
	next    uint64
	// lastFailed is set if the call that ended last was not answered, and lastAnswer is
	// the time of the last answer.
	lastFailed bool
	lastAnswer time.Time
}

// NewMonitor returns a monitor without any calls, which reports the store as reachable.
func NewMonitor() *Monitor { return &Monitor{pending: make(map[uint64]time.Time)} }

// Start records the start of a call that asks the store to wait for the given time. The
// returned function records its end; answered must be set if the store answered and did not
// refuse the call as unavailable.
func (m *Monitor) Start(wait time.Duration) func(answered bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := m.next
	m.next++
	m.pending[id] = time.Now().Add(wait + overdueAfter)
	return func(answered bool) {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.pending, id)
		m.lastFailed = !answered
		if answered {
			m.lastAnswer = time.Now()
		}
	}
}

// Healthy reports whether the store counts as reachable: a call was answered within
// answerGrace, or the last call was answered and none is overdue.
func (m *Monitor) Healthy() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if now.Sub(m.lastAnswer) < answerGrace {
		return true
	}
	if m.lastFailed {
		return false
	}
	for _, due := range m.pending {
		if now.After(due) {
			return false
		}
	}
	return true
}
