package replica

import "time"

// demandWeight is the weight of a new request in the moving averages of a demand.
const demandWeight = 0.02

// demand is the mean of what the requests of a service take.
type demand struct {
	// duration is the time of a request at a replica of the usual pace, in seconds; 0 if none has
	// ended.
	duration float64
	tokens   float64
}

// observe adds a request that ended after d at a replica of the given pace.
func (m *demand) observe(d time.Duration, pace float64) {
	seconds := d.Seconds() / max(pace, minPace)
	if m.duration == 0 {
		m.duration = seconds
		return
	}
	m.duration += demandWeight * (min(seconds, 4*m.duration) - m.duration)
}

// footprint adds a request that takes tokens of memory, and returns the mean.
func (m *demand) footprint(tokens float64) float64 {
	if m.tokens == 0 {
		m.tokens = tokens
	}
	m.tokens += demandWeight * (tokens - m.tokens)
	return m.tokens
}

// demandLocked returns the demand of a service.
func (s *Set) demandLocked(service string) *demand {
	m := s.demands[service]
	if m == nil {
		m = &demand{}
		s.demands[service] = m
	}
	return m
}
