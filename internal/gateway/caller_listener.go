package gateway

import (
	"net"
	"time"

	"cowslipgw/internal/event"
)

// callerListener accepts the connections of callers.
type callerListener struct {
	net.Listener
	idleTimeout time.Duration
	events      *event.Logger
}

// CallerListener returns a listener for the connections of callers. With ConnContext, the log says
// why a caller counts as disconnected and which answers could not be written. A connection may be
// unused for up to idleTimeout before its first request.
func (g *Gateway) CallerListener(l net.Listener, idleTimeout time.Duration) net.Listener {
	return &callerListener{Listener: l, idleTimeout: idleTimeout, events: g.events}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(halfCloser); ok && err == nil {
		return &callerConn{halfCloser: tcp, idleTimeout: l.idleTimeout, events: l.events}, err
	}
	return c, err
}
