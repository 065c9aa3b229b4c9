package fleet

import "cowslipgw/internal/structs"

// Host is one entry host in a view.
type Host struct {
	ID          structs.HostID
	Incarnation structs.Incarnation
	Region      structs.Region
	Domain      structs.Domain
	// EntryAddress is where callers connect, ControlAddress where other hosts do, both
	// as "ip:port".
	EntryAddress   string
	ControlAddress string
	// Leaving hosts own no partitions and take no new callers.
	Leaving bool
}
