package route

import "time"

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate, in requests per second, and Burst, in requests, apply to all hosts together. A
	// rate of 0 means no limit.
	Rate  float64
	Burst float64
	// Homes are the regions to which the account's requests are restricted; empty for none.
	Homes []string
}

// Limits are limits for callers' requests and connections.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of header and body; 0 means no limit.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the maximum time to receive a header, and IdleTimeout that for which a
	// connection may be idle; 0 means the default of the host.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
