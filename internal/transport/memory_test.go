package transport_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/transport"
)

// serveHello starts an HTTP server on 10.0.0.1:80 that responds with "hello".
func serveHello(t *testing.T, network *transport.Memory) {
	t.Helper()
	listener, err := network.Host("10.0.0.1").Listen(context.Background(), "10.0.0.1:80")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "hello")
	})}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
}

func get(network *transport.Memory, timeout time.Duration) (string, error) {
	tr := transport.HTTPTransport(network.Host("10.0.0.2"))
	defer tr.CloseIdleConnections()
	client := &http.Client{Transport: tr, Timeout: timeout}
	response, err := client.Get("http://10.0.0.1:80/")
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// TestMemoryDelay guards against a link delay that is not applied exactly once per
// direction.
func TestMemoryDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := transport.NewMemory()
		network.SetDelay("10.0.0.1", "10.0.0.2", 3*time.Millisecond)
		network.SetDelay("10.0.0.2", "10.0.0.1", 2*time.Millisecond)
		serveHello(t, network)
		start := time.Now()
		body, err := get(network, time.Second)
		is.NoErr(err)
		is.Equal(body, "hello")
		is.Equal(time.Since(start), 5*time.Millisecond)
	})
}

// TestMemoryCut guards against traffic that passes a cut link, and against a link that
// does not work after it is restored.
func TestMemoryCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		network := transport.NewMemory()
		serveHello(t, network)
		network.Cut("10.0.0.1", "10.0.0.2")
		_, err := get(network, time.Second)
		var timeout net.Error
		is.True(errors.As(err, &timeout) && timeout.Timeout())
		network.Restore("10.0.0.1", "10.0.0.2")
		body, err := get(network, time.Second)
		is.NoErr(err)
		is.Equal(body, "hello")
	})
}
