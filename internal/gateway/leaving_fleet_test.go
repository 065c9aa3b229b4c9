package gateway_test

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// leavingUpstream returns an upstream that counts its runs and, once leaving is set, says so with
// each answer.
func leavingUpstream(leaving *atomic.Bool, runs *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		runs.Add(1)
		signed(w, r)
		if leaving.Load() {
			w.Header().Set("Leaving", "1")
		}
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
	}
}

// TestLeavingReplicaGetsNoRequests guards against requests to a replica that has said it is leaving:
// from the host that was told, over any kind of route, from other hosts, after the replica's record
// was read again, and through another host.
func TestLeavingReplicaGetsNoRequests(t *testing.T) {
	const calls = 40
	is := is.New(t)
	var leaving atomic.Bool
	var leavingRuns, otherRuns atomic.Int64
	never := &atomic.Bool{}
	fleet := newTestFleet(t, 3, leavingUpstream(&leaving, &leavingRuns), leavingUpstream(never, &otherRuns))
	callUntil := func(done func() bool) {
		for n := 0; !done(); n++ {
			is.Equal(callAll(t, fleet[0], "before"+strconv.Itoa(int(leavingRuns.Load()))+"-"+strconv.Itoa(n)), int64(0))
		}
	}
	callUntil(func() bool { return leavingRuns.Load() > 0 })
	leaving.Store(true)
	told := leavingRuns.Load()
	callUntil(func() bool { return leavingRuns.Load() > told })
	time.Sleep(learning)
	for n, host := range fleet {
		host.addReplica("r0", fleet[0].upstreams[0]) // its record still says that it is ready
		if n == len(fleet)-1 {
			host.links.set(silentCut)
		}
	}
	before := leavingRuns.Load()
	for n := range calls {
		for h, host := range fleet {
			callAll(t, host, "after"+strconv.Itoa(h)+"-"+strconv.Itoa(n))
		}
	}
	is.Equal(leavingRuns.Load()-before, int64(0))
	is.True(otherRuns.Load() > calls)
}
