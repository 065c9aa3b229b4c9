package fleet

import "cowslipgw/internal/structs"

// Host is one entry host in a view.
type Host struct {
	ID          structs.HostID      `json:"id"`
	Incarnation structs.Incarnation `json:"incarnation,omitempty"`
	Region      structs.Region      `json:"region,omitempty"`
	Domain      structs.Domain      `json:"domain,omitempty"`
	// EntryAddress is the "ip:port" address that callers connect to, and ControlAddress
	// the one that other hosts connect to.
	EntryAddress   string `json:"entry_address,omitempty"`
	ControlAddress string `json:"control_address,omitempty"`
	// Leaving is set while the host drains. A leaving host owns no partitions and accepts
	// no new callers.
	Leaving bool `json:"leaving,omitempty"`
}
