package app_test

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/standin"
	"cowslipgw/internal/standin/app"
	"cowslipgw/internal/transport"
)

const address = "10.0.0.1:80"

// newService serves an app and returns it with a function that sends requests to
// it.
func newService(t *testing.T, settings app.Settings) (*app.Service, func(ctx context.Context, method, path, key string) (*http.Response, error)) {
	t.Helper()
	network := transport.NewMemory()
	service := app.New(settings)
	server, err := standin.Listen(context.Background(), network.Host("10.0.0.1"), address, service)
	if err != nil {
		t.Fatal(err)
	}
	httpTransport := transport.HTTPTransport(network.Host("10.0.0.2"))
	client := &http.Client{Transport: httpTransport}
	t.Cleanup(func() {
		httpTransport.CloseIdleConnections()
		service.Close()
		_ = server.Close()
	})
	return service, func(ctx context.Context, method, path, key string) (*http.Response, error) {
		request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		// net/http retries a request on a broken connection if the Idempotency-Key header
		// is stored under its canonical name. The lower-case spelling prevents that and
		// means the same to the server.
		request.Header["idempotency-key"] = []string{key}
		return client.Do(request)
	}
}

// TestRunCounts guards against counts that omit a run whose response was lost, or
// that include a request that did not run. All tests of at-most-once execution
// rely on these counts.
func TestRunCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, send := newService(t, app.Settings{Work: 10 * time.Millisecond})
		status := func(method, path, key string) int {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			response, err := send(ctx, method, path, key)
			if err != nil {
				return 0
			}
			defer response.Body.Close()
			_, _ = io.Copy(io.Discard, response.Body)
			return response.StatusCode
		}
		is.Equal(status(http.MethodPost, "/pickups", "a"), 200)
		is.Equal(status(http.MethodPost, "/pickups", "a"), 200)
		is.Equal(status(http.MethodPost, "/refunds", "a"), 200)
		cases := []struct {
			key    string
			faults app.Faults
			status int
			runs   int
		}{
			{"hang", app.Faults{HangBeforeRun: true, Times: 1}, 0, 0},
			{"warm", app.Faults{}, 200, 1}, // leaves an idle connection that the next request reuses
			{"drop", app.Faults{DropAfterRun: true, Times: 1}, 0, 1},
			{"slow", app.Faults{SlowMillis: 6000, Times: 1}, 0, 0},
			{"fail", app.Faults{FailStatus: 503, Times: 1}, 503, 0},
			{"fail after run", app.Faults{FailStatus: 500, FailAfterRun: true, Times: 1}, 500, 1},
			{"none", app.Faults{}, 200, 1},
		}
		for _, c := range cases {
			service.SetFaults(c.faults)
			is.Equal(status(http.MethodPost, "/x", c.key), c.status) // status of the faulty request
		}
		runs := make(map[string]int)
		for _, run := range service.Runs() {
			runs[run.Key+" "+run.Path] = run.Runs
		}
		is.Equal(runs["a /pickups"], 2)
		is.Equal(runs["a /refunds"], 1)
		for _, c := range cases {
			is.Equal(runs[c.key+" /x"], c.runs) // runs of the faulty request
		}
		response, err := send(t.Context(), http.MethodGet, "/_runs", "")
		is.NoErr(err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.True(strings.Contains(string(body), `{"key":"a","method":"POST","path":"/pickups","runs":2}`))
	})
}

// TestStatusStream guards against events that arrive late or in bursts, and
// against streams that stay open after Close.
func TestStatusStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service, send := newService(t, app.Settings{EventInterval: 500 * time.Millisecond})
		start := time.Now()
		response, err := send(t.Context(), http.MethodGet, "/status/stream", "")
		is.NoErr(err)
		defer response.Body.Close()
		is.Equal(response.Header.Get("Content-Type"), "text/event-stream")
		scanner := bufio.NewScanner(response.Body)
		ids := 0
		for scanner.Scan() {
			if !strings.HasPrefix(scanner.Text(), "id: ") {
				continue
			}
			is.Equal(time.Since(start), time.Duration(ids)*500*time.Millisecond)
			if ids++; ids == 4 {
				service.Close()
			}
		}
		is.NoErr(scanner.Err())
		is.Equal(ids, 4)
	})
}
