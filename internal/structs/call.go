package structs

// CallID identifies one call across the whole fleet. It consists of the entry host, its
// incarnation and a counter.
type CallID string

// Origin is the entry host that runs a call, with the incarnation at which the call
// started.
type Origin struct {
	Host        HostID
	Incarnation Incarnation
}
