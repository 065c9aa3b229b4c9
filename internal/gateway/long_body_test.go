package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// longBody is the size of a long body, of which a test gateway holds eight for one account.
const longBody = 4 << 20

// openLong opens a connection to an entry and sends the head of a request with a long body.
func openLong(t *testing.T, addr, id string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := fmt.Fprintf(c, "POST /unsafe/1 HTTP/1.1\r\nHost: h\r\nId: %s\r\nKey: k\r\nContent-Length: %d\r\n\r\n", id, longBody); err != nil {
		t.Fatal(err)
	}
	return c
}

// TestLongBodyIsRefusedBeforeItIsRead guards against callers that find their connection reset
// instead of a refusal, because they read the answer only after they have sent a long body.
func TestLongBodyIsRefusedBeforeItIsRead(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	gw := newTestGateway(t, 0, echoing(&runs))
	gw.source.table.Limits.BodyBytes = longBody
	addr := strings.TrimPrefix(gw.entry.URL, "http://")
	for n := range 8 {
		openLong(t, addr, fmt.Sprintf("slow%d", n)) // the body never comes
	}
	time.Sleep(100 * time.Millisecond)
	c := openLong(t, addr, "refused")
	reader := bufio.NewReader(c)
	// The refusal does not wait for the body.
	start := time.Now()
	answer, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.True(time.Since(start) < time.Second)
	is.Equal(answer.StatusCode, http.StatusServiceUnavailable)
	is.True(answer.Header.Get("Retry-After") != "")
	_, _ = io.Copy(io.Discard, answer.Body)
	// All of the body can still be sent, and the connection stays usable.
	_, err = c.Write(make([]byte, longBody))
	is.NoErr(err)
	_, err = io.WriteString(c, "POST /unsafe/1 HTTP/1.1\r\nHost: h\r\nId: next\r\nKey: k\r\nContent-Length: 1\r\n\r\nx")
	is.NoErr(err)
	answer, err = http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.Equal(answer.StatusCode, http.StatusOK)
	is.Equal(runs.Load(), int64(1))
}
