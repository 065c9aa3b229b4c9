package fleet

import (
	"sort"

	"cowslipgw/internal/structs"
)

// View is the fleet membership after the record at offset Number. A View is immutable
// once it is published.
type View struct {
	// Number is the offset of the last record that changed Hosts. A suspicion that evicts
	// no host leaves Number unchanged, so that it does not interrupt any partition.
	Number structs.ViewNumber
	// Hosts is sorted by ID.
	Hosts []Host
}

// Find returns the host with the given ID.
func (v *View) Find(id structs.HostID) (Host, bool) {
	if i := v.Index(id); i >= 0 {
		return v.Hosts[i], true
	}
	return Host{}, false
}

// Index returns the index in Hosts of the host with the given ID, or -1.
func (v *View) Index(id structs.HostID) int {
	i := sort.Search(len(v.Hosts), func(i int) bool { return v.Hosts[i].ID >= id })
	if i < len(v.Hosts) && v.Hosts[i].ID == id {
		return i
	}
	return -1
}

// Has reports whether the host is in the view with this incarnation.
func (v *View) Has(id structs.HostID, incarnation structs.Incarnation) bool {
	i := v.Index(id)
	return i >= 0 && v.Hosts[i].Incarnation == incarnation
}
