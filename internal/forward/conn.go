package forward

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// readBufferSize is the size of a connection's read buffer; most non-streaming answers
// fit in it.
const readBufferSize = 2 << 10

// conn is a connection to a replica. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleSince is the time at which the last answer ended.
	idleSince time.Time
	// idleTimeout is the replica's own timeout for idle connections, or 0 if it sent none.
	idleTimeout time.Duration
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBufferSize)}
}

// reusable reports whether an idle connection is still open and has no bytes to read.
// Bytes that arrive on an idle connection belong to no request.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
	})
	return err == nil && reusable
}
