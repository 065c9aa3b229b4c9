package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/gateway"
)

// headTimeout limits the time of a head in the tests of unused connections.
const headTimeout = 300 * time.Millisecond

// newLimitedEntry returns the address of an entry that limits the time of a head.
func newLimitedEntry(t *testing.T) string {
	t.Helper()
	var runs atomic.Int64
	gw := newTestGateway(t, 0, echoing(&runs))
	entry := httptest.NewUnstartedServer(gw.gateway)
	entry.Listener = gw.gateway.CallerListener(entry.Listener, time.Minute)
	entry.Config.ConnContext, entry.Config.ReadHeaderTimeout = gateway.ConnContext, headTimeout
	entry.Start()
	t.Cleanup(entry.Close)
	return strings.TrimPrefix(entry.URL, "http://")
}

// TestUnusedConnectionIsKept guards against a connection that is closed before its first request
// because the time limit of a head starts as it is opened.
func TestUnusedConnectionIsKept(t *testing.T) {
	is := is.New(t)
	c, err := net.Dial("tcp", newLimitedEntry(t))
	is.NoErr(err)
	defer c.Close()
	reader := bufio.NewReader(c)
	for range 2 {
		time.Sleep(2 * headTimeout)
		// The head itself takes up most of its time.
		for _, part := range []string{"GET /safe/1 HTTP/1.1\r\nHost: h\r\n", "Id: a\r\nKey: k\r\n\r\n"} {
			_, err = io.WriteString(c, part)
			is.NoErr(err)
			time.Sleep(headTimeout * 3 / 5)
		}
		answer, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.Equal(answer.StatusCode, http.StatusOK)
		_, err = io.Copy(io.Discard, answer.Body)
		is.NoErr(err)
	}
}

// TestSlowHeadIsCut guards against a caller that holds a connection with a head that never ends.
func TestSlowHeadIsCut(t *testing.T) {
	is := is.New(t)
	c, err := net.Dial("tcp", newLimitedEntry(t))
	is.NoErr(err)
	defer c.Close()
	start := time.Now()
	_, err = io.WriteString(c, "GET /safe/1 HTTP/1.1\r\n")
	is.NoErr(err)
	_, err = io.Copy(io.Discard, c)
	is.NoErr(err)
	is.True(time.Since(start) < 4*headTimeout)
}
