package standin

import (
	"net/http"
	"time"
)

// samplesPerLag is how many samples a report holds over its lag.
const samplesPerLag = 8

// LoadReport serves GET /v1/load with a lag, as real replicas report.
type LoadReport struct {
	lag     time.Duration
	measure func() Load
	samples *Delayed[Load]
}

// NewLoadReport returns a report of what measure returned a lag ago. measure must
// be callable now.
func NewLoadReport(lag time.Duration, measure func() Load) *LoadReport {
	return &LoadReport{lag: lag, measure: measure, samples: NewDelayed(lag, stamp(measure()))}
}

// Touch takes a sample when the last one is old enough. A stand-in calls it when
// its load changes, without holding the lock that measure takes.
func (l *LoadReport) Touch() {
	if l.lag == 0 || time.Since(l.samples.LastSet()) < l.lag/samplesPerLag {
		return
	}
	l.samples.Set(stamp(l.measure()))
}

// Get returns the report.
func (l *LoadReport) Get() Load {
	if l.lag == 0 {
		return stamp(l.measure())
	}
	l.Touch()
	return l.samples.Get()
}

// ServeHTTP answers with the report.
func (l *LoadReport) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, l.Get())
}

// stamp sets the time, and empty lists in place of absent ones.
func stamp(load Load) Load {
	load.Programs = append([]uint64{}, load.Programs...)
	load.Models = append([]string{}, load.Models...)
	load.At = time.Now()
	return load
}
