package entry_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/structs"
)

// app sends a request to the app pool.
func (f *fixture) app(method, path, body string, headers ...string) result {
	f.t.Helper()
	return f.do(context.Background(), method, "/apps/app"+path, body, headers...)
}

// TestApp guards against requests and responses that are altered in transit.
func TestApp(t *testing.T) {
	run(t, func(is *is.I, f *fixture) {
		var got *http.Request
		var body []byte
		f.replica(firstReplica, func(w http.ResponseWriter, r *http.Request) {
			got = r
			body, _ = io.ReadAll(r.Body)
			w.Header().Set("Location", "/bids/1")
			w.Header().Add("Set-Cookie", "a=1")
			w.WriteHeader(http.StatusCreated)
			io.WriteString(w, "placed")
		})
		f.start()
		answered := f.app("POST", "/bids/lot%201?x=1&y=%20", "amount=5", "Cookie", "c=1", "Content-Type", "text/plain")
		is.Equal(answered.status, 201)
		is.Equal(answered.body, "placed")
		is.Equal(answered.header.Get("Set-Cookie"), "a=1")
		is.Equal(got.RequestURI, "/bids/lot%201?x=1&y=%20")
		is.Equal(string(body), "amount=5")
		is.Equal(got.Header.Get("Cookie"), "c=1")
		is.Equal(got.Header.Get("Authorization"), "Bearer host-credential")
		is.Equal(f.app("GET", "/open", "", "Authorization", "").status, 201)
		is.Equal(f.app("GET", "/open", "", "Authorization", "", "Idempotency-Key", "k").status, 400)
	})
}

// TestAppLargeBody guards against bodies that are truncated where streaming starts.
func TestAppLargeBody(t *testing.T) {
	run(t, func(is *is.I, f *fixture) {
		f.limits.AppBuffer = 100
		var length int
		f.replica(firstReplica, func(_ http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			length = len(body)
		})
		f.start()
		const size = 300_000
		is.Equal(f.app("POST", "/bids", strings.Repeat("x", size)).status, 200)
		is.Equal(length, size)
	})
}

// TestAppAtMostOnce guards against running a request again that the app may have
// received, and against a wrong "run" status.
func TestAppAtMostOnce(t *testing.T) {
	run(t, func(is *is.I, f *fixture) {
		broken := func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			conn.Close()
		}
		f.replica(firstReplica, broken)
		f.replica(otherReplica, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
		f.start()
		got := f.app("POST", "/bids", "x")
		_, runStatus := got.problem()
		is.Equal(got.status, 502)
		is.Equal(runStatus, structs.RunUnknown)
		is.Equal(f.upstreamCalls.Load(), int64(1))
		is.Equal(f.app("GET", "/bids/status", "").body, "ok")
		is.Equal(f.upstreamCalls.Load(), int64(3))
		is.Equal(f.app("POST", "/bids", "x", "Idempotency-Key", "k").status, 502)
		is.Equal(f.app("POST", "/bids", "x", "Idempotency-Key", "k").status, 409)
		is.Equal(f.upstreamCalls.Load(), int64(4))
	})
}

// TestAppUnreachable guards against a request that is not tried at another replica
// although no byte of it was sent.
func TestAppUnreachable(t *testing.T) {
	run(t, func(is *is.I, f *fixture) {
		f.replica(otherReplica, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok") })
		f.start()
		is.Equal(f.app("POST", "/bids", "x", "Idempotency-Key", "k").body, "ok")
		again := f.app("POST", "/bids", "x", "Idempotency-Key", "k")
		is.Equal(again.body, "ok")
		is.Equal(again.header.Get("Idempotency-Replayed"), "true")
		is.Equal(f.app("POST", "/bids", "y", "Idempotency-Key", "k").status, 422)
		is.Equal(f.upstreamCalls.Load(), int64(1))
	})
}

// TestAppLongAnswer guards against a claimed call whose long response is truncated or
// that is run again on a retry.
func TestAppLongAnswer(t *testing.T) {
	run(t, func(is *is.I, f *fixture) {
		f.limits.StoredAnswerLimit = 1000
		f.replica(firstReplica, func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, strings.Repeat("x", 500_000))
		})
		f.start()
		is.Equal(len(f.app("POST", "/bids", "x", "Idempotency-Key", "k").body), 500_000)
		code, runStatus := f.app("POST", "/bids", "x", "Idempotency-Key", "k").problem()
		is.Equal(code, "answer-not-stored")
		is.Equal(runStatus, structs.RunYes)
		is.Equal(f.upstreamCalls.Load(), int64(1))
	})
}

// TestAppTruncatedResponse guards against a partial response that looks complete, both as a
// body and as an event stream.
func TestAppTruncatedResponse(t *testing.T) {
	run(t, func(is *is.I, f *fixture) {
		f.replica(firstReplica, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/bids/status" {
				w.Header().Set("Content-Type", "text/event-stream")
			}
			io.WriteString(w, "data: half")
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		})
		f.start()
		got := f.app("POST", "/bids", "x")
		is.True(got.err != nil)
		events := f.app("GET", "/bids/status", "")
		is.NoErr(events.err)
		is.True(strings.Contains(events.body, "\n\ndata: {"))
		is.True(strings.Contains(events.body, `"run":"unknown"`))
	})
}

// TestAppEvents guards against events that are buffered instead of forwarded, and
// against streams that outlive their key.
func TestAppEvents(t *testing.T) {
	run(t, func(is *is.I, f *fixture) {
		f.replica(firstReplica, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			io.WriteString(w, "data: 1\n\n")
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		})
		f.start()
		go func() {
			time.Sleep(time.Hour)
			f.lists.put(testLists("another-key"))
		}()
		began := time.Now()
		got := f.app("GET", "/bids/status", "")
		is.Equal(time.Since(began), time.Hour)
		is.True(strings.HasPrefix(got.body, "data: 1\n\n"))
		is.True(strings.Contains(got.body, "key-withdrawn"))
	})
}

// TestAppWithdrawnMidBody guards against an error event inside a body that is not an
// event stream, and against a claimed request that is abandoned when its key is
// withdrawn.
func TestAppWithdrawnMidBody(t *testing.T) {
	run(t, func(is *is.I, f *fixture) {
		f.limits.StoredAnswerLimit = 1000
		f.replica(firstReplica, func(w http.ResponseWriter, _ *http.Request) {
			io.WriteString(w, strings.Repeat("x", 5000))
			w.(http.Flusher).Flush()
			time.Sleep(time.Minute)
			io.WriteString(w, "end")
		})
		f.start()
		go func() {
			time.Sleep(time.Second)
			f.lists.put(testLists("another-key"))
		}()
		got := f.app("POST", "/bids", "x", "Idempotency-Key", "k")
		is.True(got.err != nil)
		is.True(!strings.Contains(got.body, "data:"))
		is.Equal(len(f.owner.closed()), 0)
		time.Sleep(2 * time.Minute)
		is.Equal(f.owner.closed()[0].Outcome, structs.OutcomeAnswered)
	})
}
