package gateway_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/relay"
	"cowslipgw/internal/replica"
)

// newStrandedFleet returns hosts of which the first has lost its links to all upstreams and knows
// it.
func newStrandedFleet(t *testing.T, upstreams ...http.HandlerFunc) []*testGateway {
	t.Helper()
	fleet := newTestFleet(t, 3, upstreams...)
	fleet[0].links.set(silentCut)
	for n := 0; !fleet[0].sender.Stranded(); n++ {
		fleet[0].call(t, http.MethodPost, "/unsafe/warm", "in", "Id", "warm"+strconv.Itoa(n), "Key", "k", "Patience", "1000")
	}
	return fleet
}

// TestBrokenRequestIsNotRepeatedThroughAnotherHost guards against a request that runs twice because
// its connection broke behind the host that passed it on.
func TestBrokenRequestIsNotRepeatedThroughAnotherHost(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	breaking := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if strings.HasSuffix(r.URL.Path, "warm") {
			signed(w, r)
			return
		}
		runs.Add(1)
		panic(http.ErrAbortHandler)
	}
	fleet := newStrandedFleet(t, breaking, breaking)
	for n, path := range []string{"/unsafe/x", "/draft/x", "/chat/x"} {
		got := fleet[0].call(t, http.MethodPost, path, "in", "Id", path, "Key", "k", "Program", path)
		is.Equal(got.status, http.StatusBadGateway) // promises nothing
		is.Equal(runs.Load(), int64(n+1))
	}
}

// TestTruncatedAnswerOfAnotherHost guards against an answer that looks complete although it broke
// off behind the host that passed the request on.
func TestTruncatedAnswerOfAnotherHost(t *testing.T) {
	is := is.New(t)
	cutting := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		signed(w, r)
		if strings.HasSuffix(r.URL.Path, "warm") {
			return
		}
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	fleet := newStrandedFleet(t, cutting, cutting)
	got := fleet[0].call(t, http.MethodPost, "/draft/x", "in", "Id", "a", "Key", "k")
	is.Equal(got.status, http.StatusOK)
	is.True(!got.complete)
	is.True(fleet[0].call(t, http.MethodPost, "/unsafe/x", "in", "Id", "b", "Key", "k").status != http.StatusOK)
}

// TestDrainingReplicaGetsNothingThroughAnotherHost guards against new work for a replica that
// leaves, sent by a host that knows it for one that does not.
func TestDrainingReplicaGetsNothingThroughAnotherHost(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	fleet := newStrandedFleet(t, echoing(&runs), echoing(&runs))
	for _, host := range fleet[1:] {
		for n, upstream := range host.upstreams {
			host.replicas.Put(replica.Record{ID: "r" + strconv.Itoa(n), Service: "s",
				Addr: strings.TrimPrefix(upstream.URL, "http://"), Domain: "z", Slots: 8, Draining: true})
		}
	}
	before := runs.Load()
	got := fleet[0].call(t, http.MethodPost, "/unsafe/x", "in", "Id", "a", "Key", "k")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.Equal(runs.Load(), before)
}

// TestCallerThatLeavesEndsRelayedRequest guards against a replica that works for a caller who has
// left, behind the host that passed the request on.
func TestCallerThatLeavesEndsRelayedRequest(t *testing.T) {
	is := is.New(t)
	started, ended := make(chan struct{}), make(chan struct{})
	waiting := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if strings.HasSuffix(r.URL.Path, "warm") {
			signed(w, r)
			return
		}
		close(started)
		<-r.Context().Done()
		close(ended)
	}
	fleet := newStrandedFleet(t, waiting, waiting)
	ctx, leave := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fleet[0].entry.URL+"/draft/x", strings.NewReader("in"))
	is.NoErr(err)
	r.Header.Set("Id", "a")
	r.Header.Set("Key", "k")
	go func() {
		if answer, err := http.DefaultClient.Do(r); err == nil {
			answer.Body.Close()
		}
	}()
	<-started
	leave()
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("replica still works")
	}
}

// TestLostLinksAreNoCrash guards against requests that all hosts refuse because some hosts lost
// their links while replicas ran them.
func TestLostLinksAreNoCrash(t *testing.T) {
	const count = 24
	is := is.New(t)
	var slow atomic.Bool
	answering := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if slow.Load() {
			time.Sleep(time.Second)
		}
		signed(w, r)
	}
	fleet := newTestFleet(t, 3, answering, answering, answering, answering, answering, answering)
	slow.Store(true)
	var wait sync.WaitGroup
	for n := range count {
		wait.Go(func() {
			got := fleet[n%2].call(t, http.MethodPost, "/unsafe/x", "in", "Id", strconv.Itoa(n), "Key", "k")
			is.Equal(got.status, http.StatusBadGateway) // may have run
		})
	}
	time.Sleep(100 * time.Millisecond)
	fleet[0].links.set(silentCut)
	fleet[1].links.set(silentCut)
	wait.Wait()
	slow.Store(false)
	time.Sleep(learning)
	for n, host := range fleet {
		got := host.call(t, http.MethodPost, "/unsafe/x", "in", "Id", "after"+strconv.Itoa(n), "Key", "k")
		is.Equal(got.status, http.StatusOK)
	}
}

// TestResumableStreamMovesToAnotherHost guards against a resumable stream that ends because the
// host lost its links, and against events that are lost or doubled when another host goes on.
func TestResumableStreamMovesToAnotherHost(t *testing.T) {
	const events = 40
	is := is.New(t)
	streaming := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		signed(w, r)
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for n := after + 1; n <= events; n++ {
			_, _ = io.WriteString(w, "id: "+strconv.Itoa(n)+"\ndata: x"+strconv.Itoa(n)+"\n\n")
			_ = http.NewResponseController(w).Flush()
			time.Sleep(10 * time.Millisecond)
		}
	}
	fleet := newTestFleet(t, 3, streaming, streaming)
	time.AfterFunc(150*time.Millisecond, func() { fleet[0].links.set(silentCut) })
	var want strings.Builder
	for n := range events {
		want.WriteString("id: " + strconv.Itoa(n+1) + "\ndata: x" + strconv.Itoa(n+1) + "\n\n")
	}
	got := fleet[0].call(t, http.MethodPost, "/resumable/x", "in", "Id", "a", "Key", "k")
	is.True(got.complete)
	is.Equal(got.body, want.String())
}

// TestStrangersRequestIsNotPassedOn guards against a caller that has a request run without a key
// over the port for other hosts.
func TestStrangersRequestIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	gw := newTestGateway(t, 0, echoing(&runs))
	for name, isHost := range map[string]bool{"host": true, "stranger": false} {
		server := httptest.NewServer(gw.gateway.RelayHandler(func(string) bool { return isHost }))
		defer server.Close()
		r, err := http.NewRequest(http.MethodPost, server.URL+"/unsafe/x", strings.NewReader("in"))
		is.NoErr(err)
		for _, field := range [][2]string{{"Id", name}, {"Relay-Request-Id", name}, {"Relay-Replica", "r0"}, {"Relay-Incarnation", "0"}, {"Relay-Remaining-Ms", "1000"}} {
			r.Header.Set(field[0], field[1])
		}
		before := runs.Load()
		answer, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		answer.Body.Close()
		is.Equal(runs.Load() > before, isHost)
	}
}

// TestCutHostSaysNothingOfReplicas guards against a replica that is taken for down because the host
// that was asked has lost its own links and has not noticed yet.
func TestCutHostSaysNothingOfReplicas(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	fleet := newTestFleet(t, 2, streaming(&runs), streaming(&runs), streaming(&runs))
	for n := range warmUpCalls {
		for _, host := range fleet {
			is.Equal(callAll(t, host, "warm"+strconv.Itoa(n)), int64(0))
		}
	}
	record, ok := fleet[1].replicas.Usable("r0", 0)
	is.True(ok)
	is.Equal(fleet[1].sender.ReachableFor(context.Background(), record), relay.Reachable)
	fleet[1].links.set(silentCut)
	is.Equal(fleet[1].sender.ReachableFor(context.Background(), record), relay.Declined)
	fleet[1].links.set(uncut)
	fleet[1].upstreams[0].Close()
	is.Equal(fleet[1].sender.ReachableFor(context.Background(), record), relay.Unreachable)
}

// TestHostWithoutLinkDeclines guards against a replica that is taken for down because the host
// that was asked has lost its own link to it.
func TestHostWithoutLinkDeclines(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	fleet := newTestFleet(t, 4, echoing(&runs), echoing(&runs))
	for _, host := range fleet[:3] {
		host.links.set(silentCut)
	}
	for n := 0; !fleet[0].sender.Stranded() || !fleet[1].sender.Stranded() || !fleet[2].sender.Stranded(); n++ {
		for _, host := range fleet[:3] {
			host.call(t, http.MethodPost, "/unsafe/x", "in", "Id", "warm"+strconv.Itoa(n), "Key", "k", "Patience", "1000")
		}
	}
	for n, host := range fleet {
		is.Equal(host.call(t, http.MethodPost, "/unsafe/x", "in", "Id", "after"+strconv.Itoa(n), "Key", "k").status, http.StatusOK)
	}
}
