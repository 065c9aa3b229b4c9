package forward

import "errors"

// Package gateway sends the texts of these errors to callers as the reason of a refusal.
var (
	// ErrUnreachable means that no connection could be opened and nothing was sent.
	ErrUnreachable = errors.New("replica unreachable")
	// ErrWithheld means that nothing was sent because the request may no longer be sent to the
	// replica.
	ErrWithheld = errors.New("replica gets no requests")
	// ErrBroken means that the connection failed after the request, or a part of it, was
	// sent. The replica may have run the request.
	ErrBroken = errors.New("connection to replica broke")
	// ErrInvalidAnswer means that the replica sent something other than an answer to the
	// request. The replica may have run the request.
	ErrInvalidAnswer = errors.New("bytes of replica are no answer")
)
