package peers

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// strainInterval is the time between two measurements.
	strainInterval = 100 * time.Millisecond
	// strainLag is the mean delay of a timer from which a host counts as strained: a
	// request needs several turns of the processor and would wait as long for each.
	strainLag = 25 * time.Millisecond
	// strainEnd is the mean delay below which it no longer does.
	strainEnd = 8 * time.Millisecond
	// strainGain is the weight of a new measurement in the mean.
	strainGain = 0.2
	// strainLimit bounds a single measurement, so that one pause proves nothing.
	strainLimit = 100 * time.Millisecond
)

// Strain tells whether the process lacks processor time, from the delay of its timers.
type Strain struct {
	strained atomic.Bool
	mean     time.Duration
}

// Strained reports whether the process lacks processor time.
func (s *Strain) Strained() bool { return s.strained.Load() }

// Run measures until ctx ends.
func (s *Strain) Run(ctx context.Context) {
	for ctx.Err() == nil {
		start := time.Now()
		select {
		case <-time.After(strainInterval):
		case <-ctx.Done():
			return
		}
		s.enter(time.Since(start) - strainInterval)
	}
}

// enter takes the delay of one timer into account.
func (s *Strain) enter(lag time.Duration) {
	s.mean += time.Duration(strainGain * float64(min(max(lag, 0), strainLimit)-s.mean))
	switch {
	case s.mean >= strainLag:
		s.strained.Store(true)
	case s.mean < strainEnd:
		s.strained.Store(false)
	}
}
