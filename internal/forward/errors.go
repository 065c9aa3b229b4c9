package forward

import "errors"

var (
	// ErrUnreachable: no connection could be opened; nothing was sent.
	ErrUnreachable = errors.New("replica unreachable")
	// ErrBroken: the connection failed after the request was sent, at least in part; it
	// may have run.
	ErrBroken = errors.New("connection to replica broke")
	// ErrNotAnswer: the replica sent bytes that are no answer to the request, which may
	// have run.
	ErrNotAnswer = errors.New("bytes of replica are no answer")
)
