package storelog

import (
	"sync"
	"time"
)

const (
	// minOverdue is the least time that a call may take in addition to the time that it asks the
	// store to wait. A healthy store answers within a few milliseconds.
	minOverdue = 150 * time.Millisecond
	// minAnswerGrace is the least time after an answer for which the store counts as reachable in
	// spite of failed or overdue calls. The store may lose single answers while it serves the
	// host.
	minAnswerGrace = 200 * time.Millisecond
	// slowMultiple is the same limits as a multiple of the store's answer time: a slow store is
	// no lost one.
	slowMultiple = 3
)

// Monitor determines from the outcomes of calls whether this host reaches the store. Its
// methods are safe for concurrent use.
type Monitor struct {
	mu sync.Mutex
	// pending holds the times at which the answers to the calls in flight are expected at the
	// earliest.
	pending map[uint64]time.Time
	next    uint64
	// lastFailed is set if the call that ended last was not answered, and lastAnswer is
	// the time of the last answer.
	lastFailed bool
	lastAnswer time.Time
	// answerTime estimates how long the store takes for an answer.
	answerTime MovingAverage
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
	expected := time.Now().Add(wait)
	m.pending[id] = expected
	return func(answered bool) {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.pending, id)
		m.lastFailed = !answered
		if answered {
			m.lastAnswer = time.Now()
			// Answers that come sooner than expected, to calls that wait for a record, say nothing.
			if d := m.lastAnswer.Sub(expected); d >= 0 {
				m.answerTime.Add(d)
			}
		}
	}
}

// Healthy reports whether the store counts as reachable: a call was answered within
// answerGrace, or the last call was answered and none is overdue.
func (m *Monitor) Healthy() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if now.Sub(m.lastAnswer) < max(minAnswerGrace, slowMultiple*m.answerTime.Mean()) {
		return true
	}
	if m.lastFailed {
		return false
	}
	overdue := max(minOverdue, slowMultiple*m.answerTime.Mean())
	for _, expected := range m.pending {
		if now.Sub(expected) > overdue {
			return false
		}
	}
	return true
}

// AnswerTime returns an estimate of how long the store takes for an answer, or 0 before the
// first one.
func (m *Monitor) AnswerTime() time.Duration { return m.answerTime.Mean() }
