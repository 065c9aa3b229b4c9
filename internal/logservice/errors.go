package logservice

import "errors"

var (
	// ErrUnavailable means that the log did not answer; an append may have taken effect.
	ErrUnavailable = errors.New("log service unavailable")
	// ErrTrimmed means that records which the reader needs are no longer kept.
	ErrTrimmed = errors.New("log records trimmed")
	// ErrRejected means that the log refused the request for what it contains. The
	// record is not in the log, and a retry does not help.
	ErrRejected = errors.New("log service rejected the request")
	// ErrMalformed means that the log's answer breaks its protocol. It is always joined
	// with ErrUnavailable.
	ErrMalformed = errors.New("malformed answer from the log service")
	// ErrNotAppended means that no attempt to append was made. The record is not in the
	// log.
	ErrNotAppended = errors.New("record not appended")
	// ErrQueueFull means that the appender holds as many waiting appends as it may. It
	// is always joined with ErrNotAppended.
	ErrQueueFull = errors.New("append queue is full")
)
