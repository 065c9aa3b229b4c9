package forward

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// readBuffer is the size of a connection's read buffer; most plain answers fit in it.
const readBuffer = 2 << 10

// conn is a connection to a replica. One request is under way on it at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// idleSince is when the last answer ended.
	idleSince time.Time
	// idleLimit is what the replica said about idle connections; 0 if nothing.
	idleLimit time.Duration
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, readBuffer)}
}

// quiet reports whether an idle connection is open and has nothing to read. Bytes
// that arrive while no request waits belong to no request.
func (c *conn) quiet() bool {
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
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
	})
	return err == nil && quiet
}
