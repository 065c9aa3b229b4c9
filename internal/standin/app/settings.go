package app

import "time"

// Settings of a plain service. Zero values mean the defaults.
type Settings struct {
	// ID names the replica in the answer header X-Replica.
	ID string
	// Work is how long one request takes.
	Work time.Duration
	// EventInterval is the time between events of /status/stream; default 1 s.
	EventInterval time.Duration
	// LoadLag is how old the load report is.
	LoadLag time.Duration
	// Slots is reported as the number of requests that run well at once; default 64.
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
