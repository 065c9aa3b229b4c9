package storelog

import (
	"sync"
	"time"
)

// averageWeight is the weight of a new sample that is below the average.
const averageWeight = 0.2

// MovingAverage is an exponential moving average of durations that follows longer ones at once.
// It is safe for concurrent use.
type MovingAverage struct {
	mu    sync.Mutex
	value time.Duration
}

// Mean returns the average, or 0 before the first sample.
func (a *MovingAverage) Mean() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.value
}

// Add adds a sample.
func (a *MovingAverage) Add(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if d > a.value {
		a.value = d
	}
	a.value += time.Duration(averageWeight * float64(d-a.value))
}
