package intake

import "sync"

// ordinaryBytes is the cost up to which a head may use all of the memory, in bytes. A head of 16 KB
// in 50 lines is below it.
const ordinaryBytes = 48 << 10

// largeShare is the divisor of the limit that gives the part which costs above ordinaryBytes may use.
// The rest is left to ordinary requests.
const largeShare = 2

// Memory limits the sum of what is held for input that was not admitted. It is safe for concurrent
// use. Its lock is the innermost of this package.
type Memory struct {
	mu    sync.Mutex
	limit int64
	used  int64
	// large is the part of used that belongs to costs above ordinaryBytes.
	large int64
}

// NewMemory returns a Memory with a limit in bytes.
func NewMemory(limit int64) *Memory { return &Memory{limit: limit} }

// Resize changes a cost from one number of bytes to another. It reports whether there is room;
// if not, nothing changes. Lower costs always fit, and so does a single large one.
func (m *Memory) Resize(from, to int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	used, large := m.used-from+to, m.large-largePart(from)+largePart(to)
	if to > from {
		alone := large == to
		if !alone && (used > m.limit || large > m.limit/largeShare && to > ordinaryBytes) {
			return false
		}
	}
	m.used, m.large = used, large
	return true
}

// largePart returns the part of a cost that counts as large.
func largePart(cost int64) int64 {
	if cost > ordinaryBytes {
		return cost
	}
	return 0
}

// Used returns the number of bytes in use.
func (m *Memory) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}
