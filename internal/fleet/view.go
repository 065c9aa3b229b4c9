package fleet

import "cowslipgw/internal/structs"

// View is the fleet as the membership records up to Number say. A View is never
// changed after it is published.
type View struct {
	Number structs.ViewNumber
	// Hosts is ordered by HostID.
	Hosts []Host
}

// Find returns the host with the given ID.
func (v *View) Find(id structs.HostID) (Host, bool) {
	for _, host := range v.Hosts {
		if host.ID == id {
			return host, true
		}
	}
	return Host{}, false
}
