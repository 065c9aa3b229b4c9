package transport

import (
	"context"
	"net"
	"time"
)

// dialTimeout bounds the time to establish a connection if the context has no earlier
// deadline.
const dialTimeout = 2 * time.Second

// TCP is the Network that uses TCP sockets of the operating system.
type TCP struct{}

// Listen listens on a TCP address.
func (TCP) Listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address)
}

// Dial connects to a TCP address.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}
