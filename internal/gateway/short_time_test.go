package gateway_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestShortTimeIsNoDisconnect guards against a caller that counts as disconnected because the time
// of its request, which has no body, is over before the request is admitted.
func TestShortTimeIsNoDisconnect(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	gw, log := newLoggedGateway(t, echoing(&runs))
	// The key is new, so its first request waits until the configuration was read again.
	const readTime = 250 * time.Millisecond
	gw.source.slow.Store(int64(readTime))
	time.Sleep(readTime * 8 / 5)
	newKey := newTableSpec()
	newKey.version, newKey.accounts[0].Keys = 2, []string{"k", "new"}
	gw.source.next.Store(newKey.table())
	reply := gw.call(t, "GET", "/safe/1", "", "Id", "short", "Key", "new", "Patience", "10")
	is.Equal(reply.status, http.StatusServiceUnavailable)
	is.True(reply.complete)
	line := log.line(`"request":"short"`)
	is.True(!strings.Contains(line, "disconnect")) // the caller is still there
}
