package logservice

import "errors"

var (
	// ErrUnavailable means that the log did not answer; an append may have taken effect.
	ErrUnavailable = errors.New("log service unavailable")
	// ErrTrimmed means that records which the reader needs are no longer kept.
	ErrTrimmed = errors.New("log records trimmed")
)
