package owner

import "errors"

var (
	// ErrUnavailable means that no owner took the operation in time; it had no effect.
	ErrUnavailable = errors.New("owner of the partition is unavailable")
	// ErrUncertain means that an owner may have applied the operation.
	ErrUncertain = errors.New("outcome at the partition's owner is not known")
	// ErrRejected means that the owner cannot decide the operation.
	ErrRejected = errors.New("owner rejected the operation")
)
