package transport

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Limits of the connection pool of an HTTP client.
const (
	maxIdleConnsPerHost = 256
	idleConnTimeout     = 30 * time.Second
)

// HTTPTransport returns an HTTP transport that dials through network. It ignores the
// proxy settings of the environment and does not request compression.
func HTTPTransport(network Network) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return network.Dial(ctx, address)
		},
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}
