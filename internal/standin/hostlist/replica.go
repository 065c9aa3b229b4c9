package hostlist

// States of a replica. A gone replica is not listed.
const (
	Live    = "live"
	Leaving = "leaving"
	Gone    = "gone"
)

// Replica is one entry of the list, in the form of its protocol.
type Replica struct {
	Pool    string `json:"pool"`
	ID      string `json:"id"`
	Address string `json:"address"`
	Domain  string `json:"failure_domain"`
	State   string `json:"state"`
	// Kind is "engine" or "app".
	Kind        string `json:"kind"`
	ChecksFence bool   `json:"checks_fence"`
}
