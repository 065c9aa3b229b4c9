package owner

import "errors"

var (
	// ErrUnavailable means that no owner accepted the operation in time. The operation
	// had no effect.
	ErrUnavailable = errors.New("owner of the partition is unavailable")
	// ErrUncertain means that an owner may have applied the operation.
	ErrUncertain = errors.New("outcome at the partition's owner is not known")
	// ErrRejected means that the owner cannot decide the operation. A retry does not
	// help.
	ErrRejected = errors.New("owner rejected the operation")
)
