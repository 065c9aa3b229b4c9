package owner

import (
	"errors"

	"cowslipgw/internal/partition"
)

// Code is the outcome of an operation as it travels between hosts.
type Code int

const (
	// CodeOK means that the operation was decided and replicated.
	CodeOK Code = iota
	// CodeNotOwner means that the host does not own the partition.
	CodeNotOwner
	// CodeNotReady means that the partition was not active in time.
	CodeNotReady
	// CodeUncertain means that the operation is not known to be replicated.
	CodeUncertain
	// CodeFailed means that the operation cannot be decided; a retry does not help.
	CodeFailed
)

// codeOf returns the code that stands for an error of the partition manager.
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
