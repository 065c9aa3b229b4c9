package entry_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"cowslipgw/internal/structs"
)

// TestModelNotLoaded guards against reporting that a model of the caller's plan does
// not exist because the first replica has not loaded it yet.
func TestModelNotLoaded(t *testing.T) {
	run(t, func(is *is.I, f *fixture) {
		f.replica(firstReplica, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusNotFound)
			_, _ = w.Write([]byte(`{"error":{"code":"model_not_found","message":"not loaded"}}`))
		})
		f.replica(otherReplica, answer)
		f.start()
		is.Equal(f.chat(callBody, "Idempotency-Key", "k1").status, 200)
		is.Equal(f.upstreamCalls.Load(), int64(2))
	})
}

// TestRetry guards against retryable calls that are not tried at another replica,
// claimed calls that are sent twice, and retries beyond the budget.
func TestRetry(t *testing.T) {
	run(t, func(is *is.I, f *fixture) {
		f.replica(firstReplica, func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := w.(http.Hijacker).Hijack()
			conn.Close()
		})
		f.replica(otherReplica, answer)
		f.start()
		is.Equal(f.chat(callBody).status, 200)
		is.Equal(f.upstreamCalls.Load(), int64(2))
		claimed := f.chat(callBody, "Idempotency-Key", "k1")
		_, runStatus := claimed.problem()
		is.Equal(claimed.status, 502)
		is.Equal(runStatus, structs.RunUnknown)
		is.Equal(claimed.header.Get("X-Should-Retry"), "false")
		is.Equal(f.upstreamCalls.Load(), int64(3))
		again := f.chat(callBody, "Idempotency-Key", "k1")
		_, runStatus = again.problem()
		is.Equal(again.status, 409)
		is.Equal(runStatus, structs.RunUnknown)
		const calls = 100
		before := f.upstreamCalls.Load()
		for range calls {
			f.chat(callBody)
		}
		retries := f.upstreamCalls.Load() - before - calls
		is.True(retries <= calls/10+3)
	})
}
