package partition

import "errors"

var (
	// ErrNotOwner means that another host owns the partition in the current view.
	ErrNotOwner = errors.New("not the owner of the partition")
	// ErrNotReady means that the partition is not active; nothing was decided.
	ErrNotReady = errors.New("partition is not active")
	// ErrUncertain means that an operation was decided and is not known to be replicated.
	ErrUncertain = errors.New("operation is not known to be replicated")
)
