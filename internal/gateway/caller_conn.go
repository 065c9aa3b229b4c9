package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"cowslipgw/internal/event"
)

const (
	// lingerTimeout limits the time in which a connection that was closed is still read.
	lingerTimeout = time.Second
	// maxLingerBytes limits what is read of it.
	maxLingerBytes = 4 << 20
)

// halfCloser is a connection whose sending direction can be closed.
type halfCloser interface {
	net.Conn
	CloseWrite() error
}

// callerConn is the connection of a caller. It keeps the errors that net/http does not pass on:
// why the caller counts as disconnected, and that the end of an answer could not be written.
type callerConn struct {
	halfCloser
	// idleTimeout limits the time until the first byte.
	idleTimeout time.Duration
	events      *event.Logger
	// used is set once a byte was received. The time limit of the first head, which net/http sets
	// as it accepts the connection, starts then.
	used        atomic.Bool
	headTimeout atomic.Int64
	// request is the ID of the request that was last received.
	request atomic.Pointer[string]
	// readErr and writeErr are the last errors since a read or write succeeded; nil if none.
	readErr, writeErr atomic.Pointer[error]
	// linger is set if the caller may still be sending the body of a request that was answered.
	linger atomic.Bool
}

// callerConnKey is the key of the callerConn in the context of a request.
type callerConnKey struct{}

// ConnContext adds the connection of a caller to the context of its requests. It is for
// http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if caller, ok := c.(*callerConn); ok {
		return context.WithValue(ctx, callerConnKey{}, caller)
	}
	return ctx
}

// callerConnOf returns the connection of a request's caller; nil if its server does not use
// ConnContext.
func callerConnOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(callerConnKey{}).(*callerConn)
	return c
}

// NetConn returns the connection that c wraps.
func (c *callerConn) NetConn() net.Conn { return c.halfCloser }

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.halfCloser.Read(p)
	if n > 0 && !c.used.Swap(true) {
		if timeout := c.headTimeout.Load(); timeout != 0 {
			_ = c.halfCloser.SetReadDeadline(time.Now().Add(time.Duration(timeout)))
		}
	}
	record(&c.readErr, err)
	return n, err
}

// SetReadDeadline implements net.Conn. Before the first byte, the idle timeout applies instead.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if left := time.Until(t); !c.used.Load() && left > 0 {
		c.headTimeout.Store(int64(left))
		t = time.Now().Add(c.idleTimeout)
	}
	return c.halfCloser.SetReadDeadline(t)
}

// Write implements net.Conn. It logs the first error of an answer.
func (c *callerConn) Write(p []byte) (int, error) {
	n, err := c.halfCloser.Write(p)
	if failedBefore := c.writeErr.Load() != nil; err != nil && !failedBefore {
		reason := disconnectReason(err)
		callerWriteFailures(reason).Inc()
		fields := event.Fields{"addr": c.RemoteAddr().String(), "disconnect": reason, "error": err.Error(), "unwritten": len(p) - n}
		if id := c.request.Load(); id != nil {
			fields["request"] = *id
		}
		c.events.Log(event.AnswerNotWritten, fields)
	}
	record(&c.writeErr, err)
	return n, err
}

// Close implements net.Conn. A caller that is still sending reads the answer first: closing a
// connection with unread bytes resets it, and the reset may overtake the answer.
func (c *callerConn) Close() error {
	if !c.linger.Swap(false) {
		return c.halfCloser.Close()
	}
	err := c.CloseWrite()
	go func() {
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
		_, _ = io.Copy(io.Discard, io.LimitReader(c.halfCloser, maxLingerBytes))
		_ = c.halfCloser.Close()
	}()
	return err
}

// record stores err; nil clears it.
func record(last *atomic.Pointer[error], err error) {
	switch {
	case err != nil:
		last.Store(&err)
	case last.Load() != nil:
		last.Store(nil)
	}
}

// setRequest sets the ID of the request that is received.
func (c *callerConn) setRequest(id string) {
	if c != nil {
		c.request.Store(&id)
	}
}

// setLinger sets whether Close waits for what the caller still sends.
func (c *callerConn) setLinger(linger bool) {
	if c != nil {
		c.linger.Store(linger)
	}
}

// disconnect returns why the context of a request was cancelled, and the error.
func (c *callerConn) disconnect() (reason string, err error) {
	if c == nil {
		return disconnectUnknown, nil
	}
	for _, last := range []*atomic.Pointer[error]{&c.writeErr, &c.readErr} {
		if err := last.Load(); err != nil {
			return disconnectReason(*err), *err
		}
	}
	return disconnectUnknown, nil
}

// Reasons for which a caller counts as disconnected.
const (
	// disconnectClosed: the caller closed its connection, or at least its sending direction.
	disconnectClosed = "closed"
	// disconnectReset: the caller or the network reset the connection.
	disconnectReset = "reset"
	// disconnectTimeLimit: a time limit of this host for reading or writing has passed.
	disconnectTimeLimit = "time limit"
	// disconnectOwnClose: this host closed the connection.
	disconnectOwnClose = "closed by this host"
	disconnectUnknown  = "unknown"
)

// disconnectReason classifies an error of a caller's connection.
func disconnectReason(err error) string {
	switch {
	case errors.Is(err, io.EOF):
		return disconnectClosed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return disconnectTimeLimit
	case errors.Is(err, net.ErrClosed):
		return disconnectOwnClose
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return disconnectReset
	}
	return disconnectUnknown
}
