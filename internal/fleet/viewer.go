package fleet

import "cowslipgw/internal/structs"

// Viewer gives the current view.
type Viewer interface {
	// View returns the newest view that this host has folded.
	View() *View
	// Changed returns a channel that is closed when a newer view exists.
	Changed() <-chan struct{}
	// Self names this host.
	Self() structs.HostID
}
