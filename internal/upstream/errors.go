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
	// ErrTimeout means that the first event of a stream, the header of an app's response
	// or a complete answer that is not streamed did not arrive in time.
	ErrTimeout = errors.New("timeout waiting for an answer")
	// ErrAnswerMismatch means that the answer belongs to another call.
	ErrAnswerMismatch = errors.New("answer belongs to another call")
	// ErrAnswerTooLong means that the answer exceeds the size that a host holds in
	// memory.
	ErrAnswerTooLong = errors.New("answer exceeds the size limit")
)

// StatusError is a response whose status is not the expected one: 200 for a chat
// completion, and 2xx for a control request.
type StatusError struct {
	Status int
	// RetryAfter is the Retry-After header of the upstream, in whole seconds; 0 if
	// absent.
	RetryAfter time.Duration
	// Body is the start of the response body.
	Body []byte
}

// Error returns a description with the status. Entry hosts send it to callers as the
// detail of a problem, so the text must stay stable.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the upstream answered with status %d", e.Status)
}
