package fleet

import "cowslipgw/internal/structs"

// Viewer provides the current view of the fleet.
type Viewer interface {
	// View returns the newest view that this host has derived from the log.
	View() *View
	// Changed returns a channel that is closed when a newer view is published.
	Changed() <-chan struct{}
	// Self returns the ID of this host.
	Self() structs.HostID
}

// HistoryViewer is a Viewer that also retains the views before the current one.
type HistoryViewer interface {
	Viewer
	// Recent returns the newest consecutive views, from the oldest to the current one.
	// fromStart is set if no view existed before the first one returned.
	Recent() (views []*View, fromStart bool)
	// Incarnation returns the incarnation of this process, or 0 if the process is not in
	// the view. A view may contain this host's ID with the incarnation of an earlier
	// process.
	Incarnation() structs.Incarnation
}
