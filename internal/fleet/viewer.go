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

// Historian is a Viewer that also remembers the views before the current one.
type Historian interface {
	Viewer
	// Recent returns the newest views without a gap between them, the oldest first and
	// the current one last. fromStart means that no view existed before the first.
	Recent() (views []*View, fromStart bool)
	// Incarnation is that of this process, or 0 when it is not in the view. A view may
	// hold this host's ID with the incarnation of an earlier process.
	Incarnation() structs.Incarnation
}
