package standin

import (
	"sync"
	"time"
)

// Delayed holds a value that readers see only after a lag. It is safe for
// concurrent use.
type Delayed[T any] struct {
	mu       sync.Mutex
	lag      time.Duration
	versions []version[T]
}

// version is a value and the time at which it was set.
type version[T any] struct {
	value T
	at    time.Time
}

// NewDelayed returns a holder whose first value is visible at once.
func NewDelayed[T any](lag time.Duration, first T) *Delayed[T] {
	return &Delayed[T]{lag: lag, versions: []version[T]{{value: first}}}
}

// Set sets the value that readers see after the lag.
func (d *Delayed[T]) Set(value T) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.versions = append(d.versions, version[T]{value: value, at: time.Now()})
	d.dropLocked()
}

// SetLag changes the lag.
func (d *Delayed[T]) SetLag(lag time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lag = lag
}

// Get returns the newest value that is as old as the lag.
func (d *Delayed[T]) Get() T {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropLocked()
	return d.versions[0].value
}

// LastSet returns when the newest value was set; the zero time for the first one.
func (d *Delayed[T]) LastSet() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.versions[len(d.versions)-1].at
}

// dropLocked drops the versions that a newer visible one replaces.
func (d *Delayed[T]) dropLocked() {
	visible := time.Now().Add(-d.lag)
	for len(d.versions) > 1 && !d.versions[1].at.After(visible) {
		d.versions = d.versions[1:]
	}
}
