package gateway_test

import (
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestAllReplicasSilent guards against an idempotent request that fails before its deadline because
// all replicas that it may be sent to are silent for a while.
func TestAllReplicasSilent(t *testing.T) {
	const silence = 1200 * time.Millisecond
	var runs atomic.Int64
	silent := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(silence)
		echoing(&runs)(w, r)
	}
	for _, replicas := range []int{1, 2, 3, 4} {
		t.Run(strconv.Itoa(replicas), func(t *testing.T) {
			t.Parallel()
			var upstreams []http.HandlerFunc
			for range replicas {
				upstreams = append(upstreams, silent)
			}
			gw := newTestGateway(t, 0, upstreams...)
			var wait sync.WaitGroup
			for n := range 4 {
				wait.Go(func() {
					reply := gw.call(t, "GET", "/safe/1", "", "Id", strconv.Itoa(n), "Key", "k")
					if reply.status != http.StatusOK || !reply.complete {
						t.Errorf("status %d, %s", reply.status, reply.body)
					}
				})
			}
			wait.Wait()
		})
	}
}
