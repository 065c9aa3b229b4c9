package standin

import (
	"net/http"
	"time"
)

// samplesPerLag is the number of samples taken per lag interval.
const samplesPerLag = 8

// LoadReport serves GET /v1/load. Its reports are delayed by a lag, like those
// of real replicas.
type LoadReport struct {
	lag     time.Duration
	measure func() Load
	samples *Delayed[Load]
}

// NewLoadReport returns a LoadReport that reports the result of measure from one
// lag ago. It calls measure once before it returns.
func NewLoadReport(lag time.Duration, measure func() Load) *LoadReport {
	return &LoadReport{lag: lag, measure: measure, samples: NewDelayed(lag, normalize(measure()))}
}

// Refresh takes a new sample if the sampling interval has passed since the last
// one. A stand-in calls it when its load changes, without holding the lock that
// measure acquires.
func (l *LoadReport) Refresh() {
	if l.lag == 0 || time.Since(l.samples.LastSet()) < l.lag/samplesPerLag {
		return
	}
	l.samples.Set(normalize(l.measure()))
}

// Get returns the current report: the load as it was one lag ago.
func (l *LoadReport) Get() Load {
	if l.lag == 0 {
		return normalize(l.measure())
	}
	l.Refresh()
	return l.samples.Get()
}

// ServeHTTP sends the current report.
func (l *LoadReport) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	WriteJSON(w, http.StatusOK, l.Get())
}

// normalize sets the timestamp and replaces nil lists by empty ones.
func normalize(load Load) Load {
	load.Programs = append([]uint64{}, load.Programs...)
	load.Models = append([]string{}, load.Models...)
	load.At = time.Now()
	return load
}
