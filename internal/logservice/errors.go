package logservice

import "errors"

var (
	// ErrUnavailable means that the log did not answer or could not serve the request. An
	// append may still have taken effect.
	ErrUnavailable = errors.New("log service unavailable")
	// ErrTrimmed means that the log no longer retains records that the read asked for.
	ErrTrimmed = errors.New("log records trimmed")
	// ErrRejected means that the log rejected the request because of its contents. The
	// record is not in the log, and a retry would fail as well.
	ErrRejected = errors.New("log service rejected the request")
	// ErrMalformed means that an answer of the log violates the protocol. Client always
	// joins it with ErrUnavailable.
	ErrMalformed = errors.New("malformed answer from the log service")
	// ErrNotAppended means that no append was attempted. The record is not in the log.
	ErrNotAppended = errors.New("record not appended")
	// ErrQueueFull means that the queue of the appender is full. It is always joined with
	// ErrNotAppended.
	ErrQueueFull = errors.New("append queue is full")
)
