package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"cowslipgw/internal/replica"
	"cowslipgw/internal/route"
)

// Figures of the services seen with cold replicas.
const (
	coldPerSecond = 25
	coldTime      = 3 * time.Second
	// coldBound is the number of requests that a cold replica may get in a second.
	coldBound = coldPerSecond*1.5 + 5
	// refusalPause is how long a caller waits after a refusal, so that the test leaves processor time
	// to the hosts.
	refusalPause = 10 * time.Millisecond
)

// coldService is a configuration in which the replicas of service s are cold after their start.
var coldService = route.NewTable(1, nil, []*route.Service{{Name: "s", ColdPerSecond: coldPerSecond, ColdTime: coldTime}}, nil, route.Limits{}, false)

// recordingArrivals returns an upstream that answers fast and records when requests reach it.
func recordingArrivals(got *arrivals) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		got.add()
		unlimited(w, r)
	}
}

// load sends requests from some callers of each host until the time is over, and counts the answers
// by status.
func load(t *testing.T, fleet []*testGateway, path string, callers int, took time.Duration) (answered, refused int64) {
	t.Helper()
	var wait sync.WaitGroup
	var ok, unavailable atomic.Int64
	start := time.Now()
	for n, host := range fleet {
		for caller := range callers {
			wait.Go(func() {
				for count := 0; time.Since(start) < took; count++ {
					id := fmt.Sprintf("%s-%d-%d-%d", path, n, caller, count)
					switch host.call(t, http.MethodPost, path, "in", "Id", id, "Key", "k", "Program", id).status {
					case http.StatusOK:
						ok.Add(1)
					case http.StatusServiceUnavailable:
						unavailable.Add(1)
						time.Sleep(refusalPause)
					}
				}
			})
		}
	}
	wait.Wait()
	return ok.Load(), unavailable.Load()
}

// TestFleetReturnsToColdDomain guards against hosts that all turn to the idle replicas of a domain
// whose evacuation has just ended, although they have lost contact to the owner of the rate, which goes
// on with its callers.
func TestFleetReturnsToColdDomain(t *testing.T) {
	const hosts = 5
	is := is.New(t)
	var returned arrivals
	fleet := newTestFleet(t, hosts, unlimited)
	cold := newUpstream(t, recordingArrivals(&returned))
	for _, host := range fleet {
		host.replicas.Configure(coldService)
		host.addReplicaIn("z1", "cold", cold)
		host.replicas.SetEvacuated(map[string]int64{"z1": 0}, nil)
	}
	fleet[0].fleet.lost.Store(fleet[0].fleet.lastHost().StorelessCandidates(xxhash.Sum64String("cold"), 1)[0].ID)
	load(t, fleet, "/safe/x", 4, 100*time.Millisecond)
	is.Equal(returned.most(time.Time{}, time.Hour), 0)
	for _, host := range fleet {
		host.replicas.SetEvacuated(nil, nil)
	}
	// As many callers of each host as the replica in its own domain has slots: with fewer, a host rightly
	// stays in its domain, since the price of another one is higher than the wait.
	_, refused := load(t, fleet, "/safe/y", 8, 2*time.Second)
	is.Equal(refused, int64(0)) // the other replica takes them
	t.Logf("%d requests in a second", returned.most(time.Time{}, time.Second))
	is.True(float64(returned.most(time.Time{}, time.Second)) <= coldBound)
	is.True(returned.most(time.Time{}, 2*time.Second) >= coldPerSecond/2) // the replica is used
}

// TestAllReplicasAreCold guards against a cold replica that gets more than its rate because there is
// no other one, and against new programs that take the rate from those that run.
func TestAllReplicasAreCold(t *testing.T) {
	is := is.New(t)
	var got arrivals
	gw := newTestGateway(t, 0)
	gw.replicas.Configure(coldService)
	server := httptest.NewServer(recordingArrivals(&got))
	defer server.Close()
	gw.replicas.Put(replica.Record{ID: "cold", Service: "s", Addr: server.Listener.Addr().String(), Domain: "z", Slots: 8, ColdRemaining: coldTime})
	var wait sync.WaitGroup
	var started, startRefused, ran, runRefused int64
	wait.Go(func() { started, startRefused = load(t, []*testGateway{gw}, "/chat/x", 4, 2*time.Second) })
	wait.Go(func() { ran, runRefused = load(t, []*testGateway{gw}, "/unsafe/x", 8, 2*time.Second) })
	wait.Wait()
	t.Logf("programs: %d started, %d refused; requests: %d ran, %d refused; at most %d in a second", started, startRefused, ran, runRefused,
		got.most(time.Time{}, time.Second))
	is.True(float64(got.most(time.Time{}, time.Second)) <= coldBound)
	is.True(startRefused > 0)
	is.True(ran > 2*started)
}

// TestRelayedRequestsForColdReplica guards against a cold replica that gets more than its rate through
// a host that knows of the cold period, for one that does not.
func TestRelayedRequestsForColdReplica(t *testing.T) {
	is := is.New(t)
	var got arrivals
	fleet := newStrandedFleet(t, recordingArrivals(&got), recordingArrivals(&got))
	for _, host := range fleet[1:] {
		host.replicas.Configure(coldService)
		for n, upstream := range host.upstreams {
			host.replicas.Put(replica.Record{ID: "r" + strconv.Itoa(n), Service: "s", Addr: upstream.Listener.Addr().String(),
				Domain: "z", Slots: 8, ColdRemaining: coldTime})
		}
	}
	start := time.Now()
	load(t, fleet[:1], "/unsafe/x", 16, 1500*time.Millisecond)
	is.True(float64(got.most(start, time.Second)) <= 2*coldBound) // of two replicas
	is.True(got.most(start, time.Second) > 0)
}
