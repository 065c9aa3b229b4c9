package gateway

import (
	"net"

	"cowslipgw/internal/event"
)

// callerListener accepts the connections of callers.
type callerListener struct {
	net.Listener
	events *event.Logger
}

// CallerListener returns a listener for the connections of callers. With ConnContext, the log says
// why a caller counts as disconnected and which answers could not be written.
func (g *Gateway) CallerListener(l net.Listener) net.Listener {
	return &callerListener{Listener: l, events: g.events}
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		return &callerConn{TCPConn: tcp, events: l.events}, err
	}
	return c, err
}
