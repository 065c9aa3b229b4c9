package fleet

import "cowslipgw/internal/structs"

// Host is one entry host in a view.
type Host struct {
	ID          structs.HostID      `json:"id"`
	Incarnation structs.Incarnation `json:"incarnation,omitempty"`
	Region      structs.Region      `json:"region,omitempty"`
	Domain      structs.Domain      `json:"domain,omitempty"`
	// EntryAddress is where callers connect, ControlAddress where other hosts do, both
	// as "ip:port".
	EntryAddress   string `json:"entry_address,omitempty"`
	ControlAddress string `json:"control_address,omitempty"`
	// Leaving hosts own no partitions and take no new callers.
	Leaving bool `json:"leaving,omitempty"`
}
