package forward

import (
	"errors"
	"io"
	"syscall"
)

// isConnClosed reports whether err means that the peer closed or reset the connection.
func isConnClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
