package httpanswer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/samber/oops"
)

// writeEndTimeout limits the wait for the result of a write when the peer has closed its side. It leaves time to
// retransmit a packet once: a peer that is gone then resets the connection.
const writeEndTimeout = 500 * time.Millisecond

// errResetInWrite is returned by reads in place of io.EOF. It wraps syscall.ECONNRESET.
var errResetInWrite = fmt.Errorf("connection broke while it was written to: %w", syscall.ECONNRESET)

// Conn is a connection whose end can be trusted: Read does not return io.EOF if a write has failed. The kernel reports
// the reset of a connection once. If a write takes that report, a read finds the end of the stream.
type Conn struct {
	net.Conn

	// writing is held during a write.
	writing sync.Mutex
	// writeFailed is set if a write has failed. It is guarded by writing.
	writeFailed bool

	// head checks the head of the answer that is read; nil if none is checked. headErr is why it is invalid. Both are
	// guarded by reading.
	reading sync.Mutex
	head    *headScanner
	headErr error
}

// NewConn returns a connection over raw.
func NewConn(raw net.Conn) *Conn { return &Conn{Conn: raw} }

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.noteWriteLocked(err)
	return n, err
}

// WriteBuffers writes the buffers with as few system calls as the wrapped connection allows.
func (c *Conn) WriteBuffers(buffers net.Buffers) (int64, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := buffers.WriteTo(c.Conn)
	c.noteWriteLocked(err)
	return n, err
}

// noteWriteLocked records the result of a write. A write that ran out of time says nothing about the connection.
func (c *Conn) noteWriteLocked(err error) {
	c.writeFailed = c.writeFailed || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
}

// Read implements net.Conn. It returns io.EOF only if no write has failed. At the end of the stream it waits up to
// writeEndTimeout for a write in progress, which ends with an error after that.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.scan(p[:max(n, 0)])
	if err == io.EOF && c.isWriteBroken() {
		err = errResetInWrite
	}
	return n, err
}

// ExpectAnswer begins to check the next bytes as the head of an answer. The caller must have read all bytes of the
// answer before.
func (c *Conn) ExpectAnswer() {
	c.reading.Lock()
	defer c.reading.Unlock()
	c.head, c.headErr = &headScanner{}, nil
}

// HeadErr returns why the head of the expected answer is invalid, or nil. It must be called after the head was read.
func (c *Conn) HeadErr() error {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.head != nil {
		return oops.Wrapf(ErrInvalid, "answer began before its request")
	}
	return c.headErr
}

// scan checks bytes that were read if they belong to a head.
func (c *Conn) scan(data []byte) {
	c.reading.Lock()
	defer c.reading.Unlock()
	if c.head == nil {
		return
	}
	isComplete, err := c.head.scan(data)
	if isComplete || err != nil {
		c.head, c.headErr = nil, err
	}
}

// isWriteBroken reports whether a write has failed, or fails now.
func (c *Conn) isWriteBroken() bool {
	if !c.writing.TryLock() {
		// The error is ignored: the write ends if the connection is closed.
		_ = c.Conn.SetWriteDeadline(time.Now().Add(writeEndTimeout))
		c.writing.Lock()
	}
	defer c.writing.Unlock()
	return c.writeFailed
}
