package gateway_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"cowslipgw/internal/event"
	"cowslipgw/internal/storelog"
)

// logBuffer is the log of a test gateway. It is safe for concurrent use.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// line waits for a line that contains all parts, and returns it; empty if it does not come.
func (b *logBuffer) line(parts ...string) string {
	for start := time.Now(); time.Since(start) < 5*time.Second; time.Sleep(5 * time.Millisecond) {
		b.mu.Lock()
		lines := strings.Split(b.text.String(), "\n")
		b.mu.Unlock()
	search:
		for _, line := range lines {
			for _, part := range parts {
				if !strings.Contains(line, part) {
					continue search
				}
			}
			return line
		}
	}
	return ""
}

// newLoggedGateway returns a gateway and its log.
func newLoggedGateway(t *testing.T, upstreams ...http.HandlerFunc) (*testGateway, *logBuffer) {
	t.Helper()
	log := &logBuffer{}
	fleet := &testFleet{events: event.New(log, true, logrus.InfoLevel)}
	return newTestGatewayIn(t, fleet, storelog.NewMemory(), 0, upstreams...), log
}

// blocking is an upstream that answers when the request is cancelled.
func blocking(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// TestDisconnectIsExplained guards against a log that does not tell callers that have left from
// time limits of the host.
func TestDisconnectIsExplained(t *testing.T) {
	const head = "POST /unsafe/1 HTTP/1.1\r\nHost: h\r\nKey: k\r\nPatience: 500\r\nContent-Length: 1\r\nId: "
	t.Run("closed", func(t *testing.T) {
		gw, log := newLoggedGateway(t, blocking)
		c := gw.dialRaw(t, head+"c\r\n\r\nx")
		time.Sleep(50 * time.Millisecond)
		is.New(t).NoErr(c.Close())
		is.New(t).True(log.line(`"event":1704`, `"disconnect":"closed"`) != "")
	})
	t.Run("reset", func(t *testing.T) {
		gw, log := newLoggedGateway(t, blocking)
		c := gw.dialRaw(t, head+"c\r\n\r\nx")
		time.Sleep(50 * time.Millisecond)
		is.New(t).NoErr(c.(*net.TCPConn).SetLinger(0))
		is.New(t).NoErr(c.Close())
		is.New(t).True(log.line(`"event":1704`, `"disconnect":"reset"`) != "")
	})
	t.Run("body is late", func(t *testing.T) {
		is := is.New(t)
		gw, log := newLoggedGateway(t, blocking)
		answer, err := http.ReadResponse(bufio.NewReader(gw.dialRaw(t, head+"c\r\n\r\n")), nil)
		is.NoErr(err)
		is.Equal(answer.StatusCode, http.StatusRequestTimeout)
		is.True(log.line(`"event":1701`, `"disconnect":"time limit"`) != "")
	})
	t.Run("does not read", func(t *testing.T) {
		var sent atomic.Int64
		gw, log := newLoggedGateway(t, flooding("data: "+strings.Repeat("x", 1000)+"\n\n", &sent))
		gw.dialRaw(t, "POST /draft/1 HTTP/1.1\r\nHost: h\r\nId: w\r\nKey: k\r\nPatience: 1000\r\nContent-Length: 1\r\n\r\nx")
		is := is.New(t)
		is.True(log.line(`"event":1707`, `"request":"w"`, `"disconnect":"time limit"`) != "")
		is.True(log.line(`"event":1704`, `"disconnect":"time limit"`) != "")
	})
}
