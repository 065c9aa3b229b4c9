package transport

import (
	"context"
	"net"
)

// Network opens listeners and connections.
type Network interface {
	// Listen opens a listener on an "ip:port" address. Port 0 picks a free one.
	Listen(ctx context.Context, address string) (net.Listener, error)
	// Dial connects to an "ip:port" address.
	Dial(ctx context.Context, address string) (net.Conn, error)
}
