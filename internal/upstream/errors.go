package upstream

import (
	"errors"
	"fmt"
	"time"
)

var (
	// ErrNotSent means that no byte of the request was written to a connection, so a
	// retry is safe.
	ErrNotSent = errors.New("request was not sent")
	// ErrIncompleteAnswer means that the request was sent and no complete answer arrived.
	ErrIncompleteAnswer = errors.New("answer is incomplete")
	// ErrTimeout means that the first byte of an answer, or the whole of an answer that
	// is not streamed, did not arrive in time.
	ErrTimeout = errors.New("timeout waiting for an answer")
	// ErrAnswerMismatch means that the answer belongs to another call.
	ErrAnswerMismatch = errors.New("answer belongs to another call")
	// ErrAnswerTooLong means that the answer exceeds the size that a host holds in
	// memory.
	ErrAnswerTooLong = errors.New("answer exceeds the size limit")
)

// StatusError is a response with an error status.
type StatusError struct {
	Status int
	// RetryAfter is the Retry-After header of the upstream, in whole seconds; 0 if
	// absent.
	RetryAfter time.Duration
	// Body is the start of the response body.
	Body []byte
}

// Error implements the error interface.
func (e *StatusError) Error() string {
	return fmt.Sprintf("upstream returned status %d", e.Status)
}
