package gateway_test

import (
	"bufio"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// drainTime is how long the gateways of these tests drain, less than the routes' timeout of 2 s.
const drainTime = time.Second

// isRefusedForStop fails the test unless an answer is a refusal because the host stops.
func isRefusedForStop(t *testing.T, answer *http.Response) {
	t.Helper()
	is := is.New(t)
	is.Equal(answer.StatusCode, http.StatusServiceUnavailable)
	is.True(answer.Header.Get("Retry-After") != "")
	is.True(answer.Close) // the caller must go to another host
}

// TestRequestThatOutlastsDrainIsRefused guards against a request that a stopping host passes on
// although it may last longer than the host.
func TestRequestThatOutlastsDrainIsRefused(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	gw := newTestGateway(t, 0, echoing(&runs))
	waiting := gw.dialRaw(t, "POST /unsafe/1 HTTP/1.1\r\nHost: h\r\nId: waiting\r\nKey: k\r\nContent-Length: 1\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	gw.gateway.Drain(time.Now().Add(drainTime))

	// The refusal does not wait for the body.
	for _, path := range []string{"/safe/1", "/unsafe/1", "/draft/1", "/chat/1"} {
		c := gw.dialRaw(t, "POST "+path+" HTTP/1.1\r\nHost: h\r\nId: a\r\nKey: k\r\nContent-Length: 1\r\n\r\n")
		answer, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		isRefusedForStop(t, answer)
	}
	// The body of an earlier request arrives after the drain began.
	_, err := io.WriteString(waiting, "x")
	is.NoErr(err)
	answer, err := http.ReadResponse(bufio.NewReader(waiting), nil)
	is.NoErr(err)
	isRefusedForStop(t, answer)
	is.Equal(runs.Load(), int64(0))

	// What fits is served.
	got := gw.call(t, http.MethodPost, "/unsafe/1", "in", "Id", "b", "Key", "k", "Patience", "300")
	is.Equal(got.status, http.StatusOK)
	is.Equal(runs.Load(), int64(1))
}

// TestRefusedTurnIsSettledInDrain guards against the tokens of a turn that began, was refused as the
// host stops and counts against the program's budget from then on.
func TestRefusedTurnIsSettledInDrain(t *testing.T) {
	is := is.New(t)
	var gw *testGateway
	var calls, runs atomic.Int64
	refusingOnce := func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) > 1 {
			streaming(&runs)(w, r)
			return
		}
		gw.gateway.Drain(time.Now().Add(drainTime))
		refusing(w, r)
	}
	gw = newTestGateway(t, 0, refusingOnce, refusingOnce)
	got := gw.call(t, http.MethodPost, "/chat/1", "in", "Id", "a", "Key", "k", "Program", "p", "Budget", "10")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(calls.Load(), int64(1))
	gw.waitIdle(t)
	got = gw.call(t, http.MethodPost, "/chat/1", "in", "Id", "b", "Key", "k", "Program", "p", "Budget", "10", "Patience", "500")
	is.Equal(got.status, http.StatusOK)
}

// TestOlderRequestIsAnsweredBeforeStop guards against requests from before the stop whose connection
// is closed without an answer at its end.
func TestOlderRequestIsAnsweredBeforeStop(t *testing.T) {
	is := is.New(t)
	silent := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}
	gw := newTestGateway(t, 0, silent, silent)
	paths := []string{"/unsafe/1", "/draft/1", "/chat/1"}
	answers := make(chan response, len(paths))
	for _, path := range paths {
		go func() { answers <- gw.call(t, http.MethodPost, path, "in", "Id", path, "Key", "k") }()
	}
	time.Sleep(100 * time.Millisecond)
	start := time.Now()
	gw.gateway.Drain(start.Add(drainTime))
	for range paths {
		got := <-answers
		is.Equal(got.status, http.StatusGatewayTimeout)
		is.True(got.complete)
		is.True(time.Since(start) < drainTime)
	}
}

// TestStoppingHostPassesOnNothingThatOutlastsIt guards against requests of other hosts that are cut
// together with the host that passes them on.
func TestStoppingHostPassesOnNothingThatOutlastsIt(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	fleet := newStrandedFleet(t, echoing(&runs), echoing(&runs))
	runs.Store(0)
	fleet[1].gateway.Drain(time.Now().Add(drainTime))
	// The other host passes it on.
	got := fleet[0].call(t, http.MethodPost, "/unsafe/x", "in", "Id", "a", "Key", "k")
	is.Equal(got.status, http.StatusOK)
	is.Equal(runs.Load(), int64(1))
	fleet[2].gateway.Drain(time.Now().Add(drainTime))
	got = fleet[0].call(t, http.MethodPost, "/unsafe/x", "in", "Id", "b", "Key", "k")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(runs.Load(), int64(1))
	// What fits is passed on.
	got = fleet[0].call(t, http.MethodPost, "/unsafe/x", "in", "Id", "c", "Key", "k", "Patience", "300")
	is.Equal(got.status, http.StatusOK)
}
