package replica

import "time"

// Record is what a replica says of itself in the store.
type Record struct {
	ID      string
	Service string
	// Addr is the IP address and port for requests.
	Addr string
	Zone string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Draining replicas get no new work.
	Draining bool
	// Cold is how much longer the replica is slow after its start.
	Cold time.Duration
	// Born is the Unix time of its start in milliseconds, its incarnation.
	Born int64
}
