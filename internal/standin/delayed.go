package standin

import (
	"sync"
	"time"
)

// Delayed holds a value whose changes become visible to readers after a lag. It
// is safe for concurrent use.
type Delayed[T any] struct {
	mu       sync.Mutex
	lag      time.Duration
	versions []version[T]
}

// version is a value with the time at which it was set.
type version[T any] struct {
	value T
	setAt time.Time
}

// NewDelayed returns a Delayed whose initial value is visible immediately.
func NewDelayed[T any](lag time.Duration, initial T) *Delayed[T] {
	return &Delayed[T]{lag: lag, versions: []version[T]{{value: initial}}}
}

// Set stores a new value, which becomes visible after the lag.
func (d *Delayed[T]) Set(value T) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions = append(d.versions, version[T]{value: value, setAt: time.Now()})
	d.pruneLocked()
}

// SetLag changes the lag, which also applies to values that are already set.
func (d *Delayed[T]) SetLag(lag time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lag = lag
}

// Get returns the newest value that was set at least the lag ago.
func (d *Delayed[T]) Get() T {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pruneLocked()
	return d.versions[0].value
}

// LastSet returns the time of the last call to Set, or the zero time if only the
// initial value exists.
func (d *Delayed[T]) LastSet() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.versions[len(d.versions)-1].setAt
}

// pruneLocked removes versions that a newer visible version supersedes.
func (d *Delayed[T]) pruneLocked() {
	visible := time.Now().Add(-d.lag)
	for len(d.versions) > 1 && !d.versions[1].setAt.After(visible) {
		d.versions = d.versions[1:]
	}
}
