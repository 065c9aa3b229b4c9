package transport

import (
	"context"
	"net"
)

// Network opens stream listeners and connections.
type Network interface {
	// Listen listens on an "ip:port" address. Port 0 selects a free port.
	Listen(ctx context.Context, address string) (net.Listener, error)
	// Dial connects to an "ip:port" address.
	Dial(ctx context.Context, address string) (net.Conn, error)
}
