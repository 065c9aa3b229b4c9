package owner

import "cowslipgw/internal/partition"

// Locator finds the owner of each partition in the newest view.
type Locator interface {
	// Owner returns the control address of the partition's owner. self reports whether
	// the owner is this host; ok is false if no host in the view can own the partition.
	Owner(id partition.ID) (address string, self, ok bool)
	// Changed returns a channel that is closed when owners may have changed.
	Changed() <-chan struct{}
}
