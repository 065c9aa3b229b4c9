package route

import "time"

// Kind says what may be repeated on a route.
type Kind uint8

// The kinds of routes.
const (
	// Unsafe requests run at most once for each attempt of a caller.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Streaming requests run at most once and are answered by a stream of events.
	Streaming
)

// Share is a part of a route's traffic.
type Share struct {
	Service string
	Weight  int
}

// Route maps a host name and a path prefix to a service.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Shares are the services of the route with their weights; there is at least one.
	Shares []Share
	// Timeout is the longest time that a caller may be kept waiting.
	Timeout time.Duration
	// Target is the latency objective.
	Target time.Duration
	// MaxAttempts limits the replicas that one attempt of a caller is sent to.
	MaxAttempts int
	// Priority is the rank of the route; 0 is served first.
	Priority int
	// Public routes need no key.
	Public bool
	// KeepsTurns says that the system keeps what was said, for TurnRetention.
	KeepsTurns    bool
	TurnRetention time.Duration
	// EventGap is the longest pause between two events for a stream to be on time.
	EventGap time.Duration
}

// Service returns the service for the part of the traffic that hash falls in.
func (r *Route) Service(hash uint64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return r.Shares[0].Service
	}
	at := int(hash % uint64(total))
	for _, s := range r.Shares {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}
