package httpanswer

import (
	"context"
	"net"
	"net/http"
)

// Transport is an http.RoundTripper. A body of an answer ends with io.EOF only if it is complete.
type Transport struct{ base *http.Transport }

// NewTransport returns a transport that uses base, which must have a DialContext and no connections. Its connections
// are *Conn, also in the hooks of package httptrace.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(raw), nil
	}
	return &Transport{base: base}
}

// CloseIdleConnections closes the connections without a request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) { return t.base.RoundTrip(r) }
