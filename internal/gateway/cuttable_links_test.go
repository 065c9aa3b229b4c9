package gateway_test

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// cutPoll is how often a connection checks whether its link is still cut.
const cutPoll = time.Millisecond

// cut is what happens on a host's links to all upstreams.
type cut int32

const (
	// uncut links work.
	uncut cut = iota
	// silentCut links lose all bytes, and connections cannot be opened.
	silentCut
	// refusingCut links refuse new connections, and open ones work.
	refusingCut
)

// cuttableLinks opens connections that can be cut. It implements forward.Dialer.
type cuttableLinks struct {
	state atomic.Int32
	// droppedDials is the number of next connections whose opening packet is lost.
	droppedDials atomic.Int32
	// dials is the number of connections that were begun.
	dials atomic.Int32
	// onDial is called before the next connection is opened; nil for none.
	onDial atomic.Pointer[func()]
}

// dropDials loses the opening packets of the next n connections.
func (l *cuttableLinks) dropDials(n int32) { l.droppedDials.Store(n) }

func (l *cuttableLinks) set(c cut) { l.state.Store(int32(c)) }

func (l *cuttableLinks) is(c cut) bool { return cut(l.state.Load()) == c }

// DialContext implements forward.Dialer.
func (l *cuttableLinks) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	l.dials.Add(1)
	if f := l.onDial.Swap(nil); f != nil {
		(*f)()
	}
	switch {
	case l.is(refusingCut):
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	case l.is(silentCut), l.droppedDials.Add(-1) >= 0:
		<-ctx.Done()
		return nil, ctx.Err()
	}
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &cuttableConn{Conn: c, links: l, closed: make(chan struct{})}, nil
}

// cuttableConn is a connection over a link that can be cut.
type cuttableConn struct {
	net.Conn
	links     *cuttableLinks
	closeOnce sync.Once
	closed    chan struct{}
}

// Read implements net.Conn. Bytes that arrive during a cut are delivered after it.
func (c *cuttableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for c.links.is(silentCut) {
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		case <-time.After(cutPoll):
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *cuttableConn) Write(p []byte) (int, error) {
	if c.links.is(silentCut) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *cuttableConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
