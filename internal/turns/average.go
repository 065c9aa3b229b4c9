package turns

import (
	"sync"
	"time"
)

// averageGain is the weight of a new sample.
const averageGain = 0.2

// average is a moving average of times. It is safe for concurrent use.
type average struct {
	mu    sync.Mutex
	value time.Duration
}

// mean returns the average; 0 before the first sample.
func (a *average) mean() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.value
}

// enter adds a sample.
func (a *average) enter(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.value == 0 {
		a.value = d
	}
	a.value += time.Duration(averageGain * float64(d-a.value))
}
