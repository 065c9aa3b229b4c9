package app

import "time"

// Settings configures a Service. Zero values select the defaults.
type Settings struct {
	// ID is the replica ID sent in the response header X-Replica.
	ID string
	// Work is the processing time of one request.
	Work time.Duration
	// EventInterval is the time between events of /status/stream. The default is 1 s.
	EventInterval time.Duration
	// LoadLag is the age of the load report.
	LoadLag time.Duration
	// Slots is the concurrency that the load report advertises. The default is 64.
	Slots int
}

const (
	defaultEventInterval = time.Second
	defaultSlots         = 64
)

func (s Settings) withDefaults() Settings {
	if s.EventInterval <= 0 {
		s.EventInterval = defaultEventInterval
	}
	if s.Slots <= 0 {
		s.Slots = defaultSlots
	}
	return s
}
