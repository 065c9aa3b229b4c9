package structs

// CallID identifies one call across the whole fleet. It consists of the entry host, its
// incarnation and a counter.
type CallID string

// Origin identifies a host and its incarnation: the entry host that runs a call, or the
// owner of a partition.
type Origin struct {
	Host        HostID
	Incarnation Incarnation
}
