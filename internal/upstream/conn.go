package upstream

import (
	"context"
	"errors"
	"net"
	"sync"

	"cowslipgw/internal/transport"
)

// errSealed is returned by writes to a connection whose request was given up.
var errSealed = errors.New("connection is sealed")

// meteredNetwork dials connections that count their writes.
type meteredNetwork struct {
	transport.Network
}

// Dial connects and returns a *meteredConn.
func (n meteredNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn}, nil
}

// meteredConn counts writes, so that a failed request is known to be unsent only
// if no write of it was started and none can start later.
type meteredConn struct {
	net.Conn

	mu     sync.Mutex
	writes int64
	sealed bool
}

// Write counts and writes, unless the connection is sealed.
func (c *meteredConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// started returns how many writes were started.
func (c *meteredConn) started() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal closes the connection for writes if none was started since the count was
// taken, and says whether that was so.
func (c *meteredConn) seal(since int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != since {
		return false
	}
	c.sealed = true
	return true
}
