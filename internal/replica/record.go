package replica

import "time"

// Record is the registration that a replica publishes in the store.
type Record struct {
	ID      string
	Service string
	// Addr is the IP address and port that accept requests.
	Addr string
	// Domain is the replica's failure domain.
	Domain string
	// Slots is the number of requests that the replica runs concurrently.
	Slots int
	// Draining is set while the replica shuts down; it gets no new requests.
	Draining bool
	// ColdRemaining is the remaining time in which the replica is slow after its start.
	ColdRemaining time.Duration
	// Born is the replica's incarnation: its start as a Unix time in milliseconds.
	Born int64
}
