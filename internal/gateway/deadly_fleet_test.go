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
// body ends with "deadly". Runs counts such requests.
func crashingUpstreams(count int, runs *atomic.Int64) []http.HandlerFunc {
	handlers := make([]http.HandlerFunc, count)
	for n := range handlers {
		handlers[n] = func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			signed(w, r)
			if !strings.HasSuffix(string(body), "deadly") {
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

const (
	crashesBorne = 3
	deadlyTries  = 10
	replicas     = 8
	// learning is the time in which all hosts learn of a crash.
	learning = 400 * time.Millisecond
)

// deadlyPaths are paths of all kinds of routes that run requests as they come.
var deadlyPaths = []string{"/safe/x", "/unsafe/x", "/draft/x", "/resumable/x"}

// post sends a request through the host with the given number.
func post(t *testing.T, fleet []*testGateway, n int, path, body string) response {
	t.Helper()
	return fleet[n%len(fleet)].call(t, http.MethodPost, path, body, "Id", path+body+strconv.Itoa(n), "Key", "k")
}

// TestDeadlyRequestIsRefusedByAllHosts guards against a request that crashes one replica after
// the other because its caller sends it again at other hosts, which do not know what it did.
// Other requests for the same path must be served.
func TestDeadlyRequestIsRefusedByAllHosts(t *testing.T) {
	for _, path := range deadlyPaths {
		is := is.New(t)
		var runs atomic.Int64
		fleet := newTestFleet(t, 3, crashingUpstreams(replicas, &runs)...)
		for n := range crashesBorne {
			is.True(post(t, fleet, n, path, "deadly").status != http.StatusOK)
			time.Sleep(learning)
			is.Equal(post(t, fleet, n+1, path, "other").status, http.StatusOK)
		}
		for n := range deadlyTries {
			refused := post(t, fleet, crashesBorne+n, path, "deadly")
			is.Equal(refused.status, http.StatusServiceUnavailable)
			is.True(refused.header.Get("Retry-After") != "")
			is.Equal(post(t, fleet, n, path, "another").status, http.StatusOK)
		}
		is.True(runs.Load() <= crashesBorne)
	}
}

// TestDeadlyConversationIsRefusedByAllHosts guards against a request that crashes one replica
// after the other because it comes with another history each time.
func TestDeadlyConversationIsRefusedByAllHosts(t *testing.T) {
	for _, path := range deadlyPaths {
		is := is.New(t)
		var runs atomic.Int64
		fleet := newTestFleet(t, 3, crashingUpstreams(replicas, &runs)...)
		for n := range crashesBorne {
			is.True(post(t, fleet, n, path, strconv.Itoa(n)+" deadly").status != http.StatusOK)
			time.Sleep(learning)
		}
		for n := range deadlyTries {
			is.Equal(post(t, fleet, n, path, "longer "+strconv.Itoa(n)+" deadly").status, http.StatusServiceUnavailable)
			is.Equal(post(t, fleet, n, strings.Replace(path, "x", "y", 1), "harmless").status, http.StatusOK)
		}
		is.True(runs.Load() <= crashesBorne)
	}
}
