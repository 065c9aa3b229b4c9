package intake

import (
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// refusalTimeout limits writing a refusal to a caller that does not read.
	refusalTimeout = 100 * time.Millisecond
	// lingerTimeout and maxLingerBytes limit what is read of a caller that was refused. Closing a
	// connection with unread bytes resets it, and the reset may overtake the answer.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 256 << 10
	// lingerBufferBytes is small because many connections may linger at a time.
	lingerBufferBytes = 1 << 10
	// retryAfterSeconds is when a caller that was refused for lack of memory may come back.
	retryAfterSeconds = 1
)

// refuse answers the request whose head is being received, which no handler has seen, and returns
// the error of further reads. It must not be called while a request is in progress.
func (c *Conn) refuse(why cause) error {
	c.listener.reporter.note(why)
	status := why.status()
	if status == 0 {
		return errLimit
	}
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = fmt.Sprintf("Retry-After: %d\r\n", retryAfterSeconds)
	}
	_ = c.tcpConn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, err := fmt.Fprintf(c.tcpConn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), retry)
	if err == nil && c.tcpConn.CloseWrite() == nil {
		c.mu.Lock()
		c.lingers = true
		c.mu.Unlock()
	}
	c.buf, c.ready = nil, 0
	c.resize(func() int64 { return c.headCharge })
	return errLimit
}

// refuseUnlessBusy is like refuse, but writes nothing between the parts of another answer.
func (c *Conn) refuseUnlessBusy(why cause) error {
	if c.isBusy() {
		c.listener.reporter.note(why)
		return errLimit
	}
	return c.refuse(why)
}

// linger discards what a refused caller still sends, and closes the connection.
func (c *Conn) linger() {
	_ = c.tcpConn.SetReadDeadline(time.Now().Add(lingerTimeout))
	buffer := make([]byte, lingerBufferBytes)
	_, _ = io.CopyBuffer(struct{ io.Writer }{io.Discard}, io.LimitReader(c.tcpConn, maxLingerBytes), buffer)
	// The caller may have closed the connection.
	_ = c.closeNow()
}
