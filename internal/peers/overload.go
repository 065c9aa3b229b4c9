package peers

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// overloadInterval is the time between measurements.
	overloadInterval = 100 * time.Millisecond
	// overloadLag is the mean timer delay at which a host counts as overloaded. A request
	// is scheduled several times and would be delayed as much each time.
	overloadLag = 25 * time.Millisecond
	// overloadEndLag is the mean timer delay below which the host no longer counts as
	// overloaded; the lower limit provides hysteresis.
	overloadEndLag = 8 * time.Millisecond
	// overloadWeight is the weight of a new measurement in the moving average.
	overloadWeight = 0.2
	// maxOverloadSample caps a single measurement, so that a single pause does not make
	// the host count as overloaded.
	maxOverloadSample = 100 * time.Millisecond
)

// OverloadDetector detects from the delay of timers whether the process lacks processor time.
type OverloadDetector struct {
	overloaded atomic.Bool
	mean       time.Duration
}

// Overloaded reports whether the process lacks processor time.
func (s *OverloadDetector) Overloaded() bool { return s.overloaded.Load() }

// Run measures timer delays until ctx is done.
func (s *OverloadDetector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		start := time.Now()
		select {
		case <-time.After(overloadInterval):
		case <-ctx.Done():
			return
		}
		s.observe(time.Since(start) - overloadInterval)
	}
}

// observe adds the delay of one timer.
func (s *OverloadDetector) observe(lag time.Duration) {
	s.mean += time.Duration(overloadWeight * float64(min(max(lag, 0), maxOverloadSample)-s.mean))
	switch {
	case s.mean >= overloadLag:
		s.overloaded.Store(true)
	case s.mean < overloadEndLag:
		s.overloaded.Store(false)
	}
}
