package owner

import (
	"errors"

	"cowslipgw/internal/partition"
)

// Code is the outcome of an operation as transmitted between hosts.
type Code int

const (
	// CodeOK means that the operation was decided and replicated.
	CodeOK Code = iota
	// CodeNotOwner means that the host does not own the partition.
	CodeNotOwner
	// CodeNotReady means that the partition did not become active in time.
	CodeNotReady
	// CodeUncertain means that the operation may or may not have been replicated.
	CodeUncertain
	// CodeFailed means that the operation cannot be decided and that a retry would
	// fail, too.
	CodeFailed
)

// codeOf returns the code for an error of the partition manager.
func codeOf(err error) Code {
	switch {
	case err == nil:
		return CodeOK
	case errors.Is(err, partition.ErrNotOwner):
		return CodeNotOwner
	case errors.Is(err, partition.ErrNotReady):
		return CodeNotReady
	case errors.Is(err, partition.ErrUncertain):
		return CodeUncertain
	default:
		return CodeFailed
	}
}
