package upstream_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"cowslipgw/internal/transport"
	"cowslipgw/internal/upstream"
)

const (
	engineAddress = "10.0.0.1:80"
	listAddress   = "10.0.0.3:80"
)

// serve runs an HTTP server on the network until the test ends. It reads each request's
// body before the handler runs, since net/http only detects a closed connection after
// that.
func serve(t *testing.T, network *transport.Memory, address string, handler http.HandlerFunc) {
	t.Helper()
	serveHandler(t, network, address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		handler(w, r)
	}))
}

// serveHandler runs an HTTP server whose handler reads the body itself.
func serveHandler(t *testing.T, network *transport.Memory, address string, handler http.Handler) {
	t.Helper()
	listener, err := network.Host(address[:len(address)-3]).Listen(context.Background(), address)
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
}

// newClient returns a client whose address is 10.0.0.2.
func newClient(t *testing.T, network *transport.Memory) *upstream.Client {
	t.Helper()
	client := upstream.NewClient(upstream.ClientOptions{
		Network:           network.Host("10.0.0.2"),
		Credential:        "host-credential",
		FirstByteTimeout:  5 * time.Second,
		AnswerTimeout:     20 * time.Second,
		StreamIdleTimeout: 3 * time.Second,
		AnswerLimit:       1 << 20,
	})
	t.Cleanup(client.Close)
	return client
}
