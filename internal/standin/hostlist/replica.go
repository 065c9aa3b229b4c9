package hostlist

// Replica states. A replica in state Gone is removed from the list.
const (
	Live    = "live"
	Leaving = "leaving"
	Gone    = "gone"
)

// Replica is an entry of the list, in the JSON format of the protocol.
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
