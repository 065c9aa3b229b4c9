package transport

import (
	"context"
	"net"
	"time"
)

// dialTimeout bounds how long a TCP connect may take when the context has no
// earlier deadline.
const dialTimeout = 2 * time.Second

// TCP is the Network of the operating system.
type TCP struct{}

// Listen opens a TCP listener.
func (TCP) Listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", address)
}

// Dial opens a TCP connection.
func (TCP) Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}
