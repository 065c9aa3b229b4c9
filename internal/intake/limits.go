package intake

import "time"

const (
	// MaxHeaderBytes is the largest limit for a head, and the one that is given to net/http.
	MaxHeaderBytes = 256 << 10
	// minHeaderBytes is the smallest limit for a head: less would refuse ordinary requests.
	minHeaderBytes = 4 << 10
	// defaultHeaderBytes, defaultHeaderTimeout and defaultIdleTimeout apply if none is configured.
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 5 * time.Minute
)

// Limits apply to the heads and idle times of connections. A zero field selects its default.
type Limits struct {
	// HeaderBytes is the maximum size of a head without the empty line at its end.
	HeaderBytes int
	// HeaderTimeout limits the time from the first to the last byte of a head.
	HeaderTimeout time.Duration
	// IdleTimeout limits the time before the first byte of a head.
	IdleTimeout time.Duration
}

// withDefaults returns l with defaults for missing limits, and with a HeaderBytes in its range.
func (l Limits) withDefaults() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	l.HeaderBytes = min(max(l.HeaderBytes, minHeaderBytes), MaxHeaderBytes)
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}
