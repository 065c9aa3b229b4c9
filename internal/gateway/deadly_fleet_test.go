package gateway_test

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// crashingUpstreams returns upstreams that stop for good when they begin to run a request whose
// body is "deadly". Runs counts such requests.
func crashingUpstreams(count int, runs *atomic.Int64) []http.HandlerFunc {
	handlers := make([]http.HandlerFunc, count)
	for n := range handlers {
		handlers[n] = func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			signed(w, r)
			if string(body) != "deadly" {
				_, _ = io.WriteString(w, "id: 1\ndata: fine\n\n")
				return
			}
			runs.Add(1)
			server := r.Context().Value(http.ServerContextKey).(*http.Server)
			go func() { _ = server.Close() }()
			panic(http.ErrAbortHandler)
		}
	}
	return handlers
}

// TestDeadlyRequestIsRefusedByAllHosts guards against a request that crashes one replica after
// the other because its caller sends it again at other hosts, which do not know what it did.
func TestDeadlyRequestIsRefusedByAllHosts(t *testing.T) {
	const (
		crashesBorne = 3
		replicas     = 8
		// learning is the time in which all hosts learn of a crash.
		learning = 400 * time.Millisecond
	)
	for _, path := range []string{"/safe/x", "/unsafe/x", "/draft/x", "/resumable/x"} {
		is := is.New(t)
		var runs atomic.Int64
		fleet := newTestFleet(t, 3, crashingUpstreams(replicas, &runs)...)
		send := func(n int, path, body string) response {
			return fleet[n%len(fleet)].call(t, http.MethodPost, path, body, "Id", path+body+strconv.Itoa(n), "Key", "k")
		}
		for n := range crashesBorne {
			is.True(send(n, path, "deadly").status != http.StatusOK)
			time.Sleep(learning)
		}
		for n := range 10 {
			refused := send(crashesBorne+n, path, "deadly")
			is.Equal(refused.status, http.StatusServiceUnavailable)
			is.True(refused.header.Get("Retry-After") != "")
		}
		is.True(runs.Load() <= crashesBorne)
		// Nothing else is refused, and replicas remain for it.
		for n := range 6 {
			is.Equal(send(20+n, path, "other").status, http.StatusOK)
			is.Equal(send(30+n, strings.Replace(path, "x", "y", 1), "harmless").status, http.StatusOK)
		}
	}
}
