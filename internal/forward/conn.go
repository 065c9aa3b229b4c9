package forward

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"cowslipgw/internal/httpanswer"
)

// readBufferSize is the size of a connection's read buffer; most non-streaming answers
// fit in it.
const readBufferSize = 2 << 10

// maxHead is the maximum number of bytes that a replica may send before the body of the answer,
// with answers to other requests that precede it.
const maxHead = 256 << 10

// maxHeadLines is the maximum number of lines that a replica may send before the body of the answer. Each line of a
// head takes up to 170 bytes once it is parsed, whatever its size. The number leaves room for a head of 1,000
// lines and a read buffer of empty lines, which may belong to the body.
const maxHeadLines = 1000 + readBufferSize

// errHeadTooLong is returned by reads of a connection on which maxHead or maxHeadLines is exceeded.
var errHeadTooLong = errors.New("too many bytes before the answer")

// headLimiter limits how much is read from a connection before the body of an answer.
type headLimiter struct {
	net.Conn
	// remaining is the number of bytes that may still be read; negative for no limit.
	remaining int
	// lines is the number of lines that may still be read while remaining is not negative.
	lines int
	// isRecording is set while bytes that are read are appended to recorded.
	isRecording bool
	recorded    []byte
	// received is called when bytes arrive.
	received func()
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.remaining == 0 || l.remaining > 0 && l.lines < 0 {
		return 0, errHeadTooLong
	}
	if l.remaining > 0 {
		p = p[:min(len(p), l.remaining)]
	}
	n, err := l.Conn.Read(p)
	if n > 0 {
		l.received()
	}
	if l.isRecording {
		l.recorded = append(l.recorded, p[:max(n, 0)]...)
	}
	if l.remaining > 0 {
		l.remaining -= n
		l.lines -= bytes.Count(p[:max(n, 0)], []byte{'\n'})
	}
	return n, err
}

// conn is a connection to a replica. It carries one request at a time.
type conn struct {
	*httpanswer.Conn
	head   *headLimiter
	reader *bufio.Reader
	// lastRead is the time since processStart at which bytes last arrived or the connection was opened.
	lastRead atomic.Int64
	// idleSince is the time at which the last answer ended.
	idleSince time.Time
	// idleTimeout is the replica's own timeout for idle connections, or 0 if it sent none.
	idleTimeout time.Duration
}

// readHead reads the next answer up to its body. It returns the head as the replica sent it, too. An answer to another
// request may precede it in the buffer, so that the connection cannot check heads as they arrive.
func (c *conn) readHead(request *http.Request) (*http.Response, []byte, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // has no error, since it reads nothing
	c.head.recorded, c.head.isRecording = bytes.Clone(buffered), true
	response, err := http.ReadResponse(c.reader, request)
	head := c.head.recorded[:len(c.head.recorded)-c.reader.Buffered()]
	c.head.recorded, c.head.isRecording = nil, false
	return response, head, err
}

// newConn returns a connection that records in anyRead, too, when bytes arrive.
func newConn(raw net.Conn, anyRead *atomic.Int64) *conn {
	c := &conn{Conn: httpanswer.NewConn(raw)}
	c.head = &headLimiter{Conn: c.Conn, remaining: -1, received: func() {
		now := int64(time.Since(processStart))
		c.lastRead.Store(now)
		anyRead.Store(now)
	}}
	c.lastRead.Store(int64(time.Since(processStart)))
	c.reader = bufio.NewReaderSize(c.head, readBufferSize)
	return c
}

// reusable reports whether an idle connection is still open and has no bytes to read.
// Bytes that arrive on an idle connection belong to no request.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sys, ok := c.NetConn().(syscall.Conn)
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
