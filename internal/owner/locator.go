package owner

import "cowslipgw/internal/partition"

// Locator knows the owner of each partition in the newest view.
type Locator interface {
	// Owner returns the control address of the partition's owner. self is set when it
	// is this host; ok is false when the view has no host that can own it.
	Owner(id partition.ID) (address string, self, ok bool)
	// Changed returns a channel that is closed when owners may have changed.
	Changed() <-chan struct{}
}
