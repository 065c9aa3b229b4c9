package upstream

import (
	"errors"
	"fmt"
	"time"
)

var (
	// ErrNotSent means that no byte of the request was written to a connection.
	ErrNotSent = errors.New("no byte of the request was sent")
	// ErrCutShort means that the answer began or was awaited and did not arrive whole.
	ErrCutShort = errors.New("the answer was cut short")
	// ErrTimeout means that the first byte of the answer did not arrive in time.
	ErrTimeout = errors.New("no answer within the time limit")
	// ErrForeignAnswer means that the answer belongs to another call.
	ErrForeignAnswer = errors.New("the answer belongs to another call")
	// ErrAnswerTooLong means that the answer exceeds what a host holds in memory.
	ErrAnswerTooLong = errors.New("the answer exceeds the length limit")
)

// StatusError is an answer whose status is not 200.
type StatusError struct {
	Status int
	// RetryAfter is the upstream's Retry-After in whole seconds; 0 when absent.
	RetryAfter time.Duration
	// Body is the start of the answer's body.
	Body []byte
}

// Error returns the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the upstream answered with status %d", e.Status)
}
