package gateway_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/replica"
	"cowslipgw/internal/storelog"
)

// addReplicaIn registers a running upstream as a replica of service s in a failure domain.
func (gw *testGateway) addReplicaIn(domain, id string, server *httptest.Server) {
	gw.replicas.Put(replica.Record{ID: id, Service: "s", Addr: strings.TrimPrefix(server.URL, "http://"), Domain: domain, Slots: 8})
}

// newUpstream starts an upstream that is no replica yet.
func newUpstream(t *testing.T, handler http.HandlerFunc) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server
}

// evacuations is a gateway.Evacuations that the test sets.
type evacuations struct {
	stale atomic.Bool
	// confirm is called by Confirm while stale is set; nil if a confirmation fails.
	confirm func()
}

func (e *evacuations) Current() bool { return !e.stale.Load() }

func (e *evacuations) Confirm(context.Context) bool {
	if e.stale.Load() && e.confirm != nil {
		e.confirm()
		e.stale.Store(false)
	}
	return e.Current()
}

// TestLastEvacuatedDomain guards against a request that reaches a replica although every domain is
// evacuated, or that waits before it is refused.
func TestLastEvacuatedDomain(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	gw := newTestGateway(t, 0, echoing(&runs))
	gw.addReplicaIn("z1", "other", newUpstream(t, echoing(&runs)))
	gw.replicas.SetEvacuated(map[string]int64{"z": 0}, nil)
	is.Equal(gw.call(t, http.MethodPost, "/unsafe/x", "in", "Id", "a", "Key", "k").status, http.StatusOK)
	gw.replicas.SetEvacuated(map[string]int64{"z": 0, "z1": 1}, nil)
	for _, path := range []string{"/safe/x", "/unsafe/x", "/draft/x", "/chat/x", "/resumable/x"} {
		start := time.Now()
		got := gw.call(t, http.MethodPost, path, "in", "Id", path, "Key", "k", "Program", path)
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(time.Since(start) < time.Second)
	}
	is.Equal(runs.Load(), int64(1))
}

// TestRequestThatWaitsForRateIsNotSent guards against a request that was given a time at a replica
// and is sent there after the replica's domain was evacuated.
func TestRequestThatWaitsForRateIsNotSent(t *testing.T) {
	const perSecond = 5
	is := is.New(t)
	var runs atomic.Int64
	gw := newTestGateway(t, 0, func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		signed(w, r)
		w.Header().Set("Limit", strconv.Itoa(perSecond))
	})
	// Two requests use up the burst; the next one waits.
	for n := range 2 {
		is.Equal(gw.call(t, http.MethodPost, "/safe/x", "in", "Id", strconv.Itoa(n), "Key", "k").status, http.StatusOK)
	}
	before := runs.Load()
	time.AfterFunc(50*time.Millisecond, func() { gw.replicas.SetEvacuated(map[string]int64{"z": 0}, nil) })
	start := time.Now()
	got := gw.call(t, http.MethodPost, "/safe/x", "in", "Id", "late", "Key", "k")
	is.True(time.Since(start) >= 50*time.Millisecond) // it waited
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(runs.Load(), before)
}

// TestRelayedRequestOfUnknowingHost guards against a request that reaches an evacuated domain through
// a host that knows of the evacuation, for one that does not.
func TestRelayedRequestOfUnknowingHost(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	fleet := newStrandedFleet(t, echoing(&runs), echoing(&runs))
	for _, host := range fleet[1:] {
		host.replicas.SetEvacuated(map[string]int64{"z": 0}, nil)
	}
	before := runs.Load()
	got := fleet[0].call(t, http.MethodPost, "/unsafe/x", "in", "Id", "a", "Key", "k")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(runs.Load(), before)
}

// TestPausedHostConfirmsBeforeItSends guards against a host that was paused while a domain was
// evacuated and sends what it had decided before the pause.
func TestPausedHostConfirmsBeforeItSends(t *testing.T) {
	is := is.New(t)
	var runs, others atomic.Int64
	known := &evacuations{}
	gw := newTestGatewayIn(t, &testFleet{evacuations: known}, storelog.NewMemory(), 0, echoing(&runs))
	known.confirm = func() { gw.replicas.SetEvacuated(map[string]int64{"z": 0}, nil) }
	// The connection opens only after the choice, as if the host were paused there.
	pause := func() { known.stale.Store(true) }
	gw.links.onDial.Store(&pause)
	got := gw.call(t, http.MethodPost, "/unsafe/x", "in", "Id", "a", "Key", "k")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(runs.Load(), int64(0))
	gw.addReplicaIn("z1", "other", newUpstream(t, echoing(&others)))
	is.Equal(gw.call(t, http.MethodPost, "/unsafe/x", "in", "Id", "b", "Key", "k").status, http.StatusOK)
	is.Equal(others.Load(), int64(1))
	known.stale.Store(true)
	known.confirm = nil
	is.Equal(gw.call(t, http.MethodPost, "/unsafe/x", "in", "Id", "c", "Key", "k").status, http.StatusServiceUnavailable)
	is.Equal(runs.Load()+others.Load(), int64(1))
}

// TestStreamIsNotResumedInEvacuatedDomain guards against a stream that goes on at its replica after
// the replica's domain was evacuated. Running streams end by themselves.
func TestStreamIsNotResumedInEvacuatedDomain(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	var gw *testGateway
	stream := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		runs.Add(1)
		signed(w, r)
		for n := range 3 {
			_, _ = io.WriteString(w, "id: "+strconv.Itoa(n+1)+"\ndata: x\n\n")
			_ = http.NewResponseController(w).Flush()
			if n == 0 {
				gw.replicas.SetEvacuated(map[string]int64{"z": 0}, nil)
			}
		}
		if strings.HasSuffix(r.URL.Path, "cut") {
			panic(http.ErrAbortHandler)
		}
	}
	gw = newTestGateway(t, 0, stream)
	is.True(gw.call(t, http.MethodPost, "/resumable/whole", "in", "Id", "a", "Key", "k").complete)
	gw.replicas.SetEvacuated(nil, nil)
	is.True(!gw.call(t, http.MethodPost, "/resumable/cut", "in", "Id", "b", "Key", "k").complete)
	is.Equal(runs.Load(), int64(2))
}
