package transport

import (
	"context"
	"net"
	"net/http"
	"time"
)

// Limits of an HTTP client's connection pool.
const (
	idleConnsPerHost = 256
	idleConnTimeout  = 30 * time.Second
)

// HTTPTransport returns a net/http transport that dials through network. It
// neither follows proxy settings of the environment nor asks for compression.
func HTTPTransport(network Network) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return network.Dial(ctx, address)
		},
		MaxIdleConnsPerHost: idleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
}
