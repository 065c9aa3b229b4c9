package gateway_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/route"
)

// regions are those of the failure domains in these tests; the hosts are in z.
var regions = map[string]string{"z": "home", "z1": "home", "z2": "away", "z3": "far"}

// restrict puts a configuration in which routes and the account acme have the given homes.
func restrict(gw *testGateway, routeHomes, accountHomes []string) {
	spec := newTableSpec()
	spec.version = gw.config.Table().Version + 1
	spec.accounts[0].Homes = accountHomes
	for _, r := range spec.routes {
		r.Homes = routeHomes
	}
	gw.source.next.Store(spec.table())
	for gw.config.Table().Version < spec.version {
		time.Sleep(time.Millisecond)
	}
}

// TestRequestStaysInItsHomes guards against a request that reaches a replica outside the regions of
// its route or of its account, and against one that waits if there is no replica in them.
func TestRequestStaysInItsHomes(t *testing.T) {
	is := is.New(t)
	ran := map[string]*atomic.Int64{"z1": {}, "z2": {}, "z3": {}, "unknown": {}}
	gw := newTestGateway(t, 0)
	gw.replicas.SetRegions(regions)
	for domain, runs := range ran {
		gw.addReplicaIn(domain, domain, newUpstream(t, echoing(runs)))
	}
	for n, c := range []struct {
		route, account []string
		allowed        map[string]bool
	}{
		{nil, nil, map[string]bool{"z1": true, "z2": true, "z3": true, "unknown": true}},
		{[]string{"home"}, nil, map[string]bool{"z1": true}},
		{nil, []string{"away", "far"}, map[string]bool{"z2": true, "z3": true}},
		{[]string{"home", "away"}, []string{"away", "far"}, map[string]bool{"z2": true}},
		{[]string{"home"}, []string{"far"}, nil},
		{[]string{"nowhere"}, nil, nil},
	} {
		restrict(gw, c.route, c.account)
		before := make(map[string]int64)
		for domain, runs := range ran {
			before[domain] = runs.Load()
		}
		for _, path := range []string{"/safe/x", "/unsafe/x", "/draft/x", "/chat/x"} {
			for m := range 5 {
				start := time.Now()
				id := path + strconv.Itoa(n) + "-" + strconv.Itoa(m)
				got := gw.call(t, http.MethodPost, path, "in", "Id", id, "Key", "k", "Program", id)
				is.Equal(got.status == http.StatusServiceUnavailable, len(c.allowed) == 0)
				is.True(time.Since(start) < time.Second)
			}
		}
		for domain, runs := range ran {
			if !c.allowed[domain] && runs.Load() > before[domain] {
				t.Errorf("case %d: request reached %s", n, domain)
			}
		}
	}
}

// TestBodyStaysInItsHomes guards against a body that is passed on to a host outside the homes and the
// region to which the caller connected.
func TestBodyStaysInItsHomes(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	fleet := newStrandedFleet(t, echoing(&runs), echoing(&runs))
	host := fleet[0]
	host.replicas.SetRegions(regions)
	for _, c := range []struct {
		domains [2]string // of the other hosts
		homes   []string
		passed  bool
	}{
		{[2]string{"z3", "z3"}, nil, true},
		{[2]string{"z3", "z3"}, []string{"home"}, false},
		{[2]string{"z3", "z1"}, []string{"home"}, true},
		{[2]string{"z3", "unknown"}, []string{"home"}, false},
	} {
		host.fleet.setDomains(c.domains)
		restrict(host, c.homes, nil)
		before := runs.Load()
		got := host.call(t, http.MethodPost, "/unsafe/x", "in", "Id", "a", "Key", "k")
		is.Equal(got.status == http.StatusOK, c.passed)
		is.Equal(runs.Load() > before, c.passed)
	}
}

// TestHostOfCallersRegion guards against a request that is not passed on within the region to which
// the caller connected, although that is no home.
func TestHostOfCallersRegion(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	fleet := newStrandedFleet(t, echoing(&runs), echoing(&runs))
	host := fleet[0]
	host.replicas.SetRegions(map[string]string{"z": "home", "z2": "away"})
	host.fleet.setDomains([2]string{"z", "z"})
	for n, upstream := range host.upstreams {
		host.addReplicaIn("z2", "r"+strconv.Itoa(n), upstream)
	}
	restrict(host, []string{"away"}, nil)
	is.Equal(host.call(t, http.MethodPost, "/unsafe/x", "in", "Id", "a", "Key", "k").status, http.StatusOK)
	is.True(route.HomesOf(&route.Route{}, nil).Allow("")) // without homes nothing is restricted
}

// setDomains sets the failure domains of the second and third host.
func (f *testFleet) setDomains(domains [2]string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n, domain := range domains {
		f.hosts[n+1].Domain = domain
	}
}
