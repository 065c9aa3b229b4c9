package structs

// CallID names one call over the whole fleet: entry host, incarnation and a
// counter.
type CallID string

// Origin is the entry host that runs a call.
type Origin struct {
	Host        HostID
	Incarnation Incarnation
}
