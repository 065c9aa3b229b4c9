package upstream

import (
	"context"
	"errors"
	"net"
	"sync"

	"cowslipgw/internal/transport"
)

// errSealed is returned by writes to a connection after its request was abandoned.
var errSealed = errors.New("connection is sealed against writes: its request was abandoned")

// countingNetwork dials connections that count their writes.
type countingNetwork struct {
	transport.Network
}

// Dial connects and returns a *countingConn.
func (n countingNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn}, nil
}

// countingConn counts writes. A failed request counts as unsent only if none of its
// writes was started and sealing the connection ensures that none can start later.
type countingConn struct {
	net.Conn

	mu     sync.Mutex
	writes int64
	sealed bool
}

// Write counts the write and passes it on, unless the connection is sealed.
func (c *countingConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// writeCount returns the number of writes that were started.
func (c *countingConn) writeCount() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal prevents further writes, provided that none was started since the count was
// taken. It reports whether it did so.
func (c *countingConn) seal(since int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != since {
		return false
	}
	c.sealed = true
	return true
}
