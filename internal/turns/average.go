package turns

import (
	"sync"
	"time"
)

// averageWeight is the weight of a new sample that is below the average.
const averageWeight = 0.2

// movingAverage is an exponential moving average of durations that follows longer ones at once.
// It is safe for concurrent use.
type movingAverage struct {
	mu    sync.Mutex
	value time.Duration
}

// mean returns the average, or 0 before the first sample.
func (a *movingAverage) mean() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.value
}

// add adds a sample.
func (a *movingAverage) add(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if d > a.value {
		a.value = d
	}
	a.value += time.Duration(averageWeight * float64(d-a.value))
}
