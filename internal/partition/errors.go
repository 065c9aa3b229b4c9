package partition

import "errors"

var (
	// ErrNotOwner means that another host owns the partition in the current view.
	ErrNotOwner = errors.New("not the owner of the partition")
	// ErrNotReady means that the partition is not active and that no operation took
	// effect.
	ErrNotReady = errors.New("partition is not active")
	// ErrUncertain means that an operation was applied at the owner, but its
	// replication could not be confirmed.
	ErrUncertain = errors.New("operation is not known to be replicated")
)
