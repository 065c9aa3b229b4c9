package route

import "time"

// Kind determines which requests of a route may be retried.
type Kind uint8

// The kinds of routes.
const (
	// Unsafe requests run at most once per attempt of the caller.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Streaming requests run at most once and are answered with a stream of events.
	Streaming
)

// TrafficShare is the weight of one service in a route's traffic.
type TrafficShare struct {
	Service string
	Weight  int
}

// Route maps a host name and a path prefix to one or more services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Shares are the weighted services of the route; there is at least one.
	Shares []TrafficShare
	// Timeout is the maximum time for a request, unless the caller sends a shorter timeout.
	Timeout time.Duration
	// LatencyTarget is the latency objective.
	LatencyTarget time.Duration
	// MaxAttempts limits the number of replicas to which one request of a caller is sent.
	MaxAttempts int
	// Priority is the priority of the route; 0 is served first.
	Priority int
	// Public routes require no API key.
	Public bool
	// StoresTurns is set if the turns of programs on this route are stored, and
	// TurnRetention is for how long.
	StoresTurns   bool
	TurnRetention time.Duration
	// Resumable is set if a stream can be continued after any of its events, by another replica
	// as well.
	Resumable bool
	// Sticky is set if requests with the same affinity key should go to the same replica.
	Sticky bool
	// Homes are the regions to which requests are restricted; empty for none.
	Homes []string
	// EventGap is the maximum interval between two events for a stream to be on time.
	EventGap time.Duration
}

// Service returns the service to which the traffic with the given hash is assigned by
// weight.
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
