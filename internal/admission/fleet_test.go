package admission_test

import (
	"context"
	"net/rpc"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/admission"
	"cowslipgw/internal/peers"
	"cowslipgw/internal/replica"
)

// fleetSlots is the number of slots of service "s" in the tests of a fleet.
const fleetSlots = 100

// testFleet is a fleet whose hosts call each other without a network. The first live host owns all
// services.
type testFleet struct {
	hosts []*testHost
	// call, if set, replaces calls of other hosts.
	call func(ctx context.Context) error
	// known and alive are what each host counts.
	known, alive int
}

// testHost is one host of a fleet.
type testHost struct {
	peers.Hosts
	fleet    *testFleet
	id       string
	lost     bool
	owner    *admission.Owner
	client   *admission.Client
	inFlight int
}

func newTestFleet(hosts int) *testFleet {
	f := &testFleet{known: hosts, alive: hosts}
	counts := func() (int, int) { return f.known, f.alive }
	for n := range hosts {
		h := &testHost{fleet: f, id: strconv.Itoa(n), owner: admission.NewOwner(func(string) int { return fleetSlots }, counts)}
		h.client = admission.NewClient(h, f, h.owner, h.loads)
		f.hosts = append(f.hosts, h)
	}
	return f
}

// loads returns what the host has in flight at one replica.
func (h *testHost) loads() []replica.ServiceLoad {
	load := replica.ServiceLoad{Service: "s", Classes: map[string]int{}, Replicas: map[replica.Incarnation]int{}}
	if h.inFlight > 0 {
		load.Classes["a"], load.Replicas[replica.Incarnation{ID: "r", Born: 1}] = h.inFlight, h.inFlight
	}
	return []replica.ServiceLoad{load}
}

// Self implements peers.Hosts.
func (h *testHost) Self() peers.Host { return peers.Host{ID: h.id} }

// StorelessCandidates implements peers.Hosts.
func (h *testHost) StorelessCandidates(_ uint64, limit int) []peers.Host {
	var candidates []peers.Host
	for _, other := range h.fleet.hosts {
		if !other.lost && len(candidates) < limit {
			candidates = append(candidates, other.Self())
		}
	}
	return candidates
}

// Call implements peers.Calls.
func (f *testFleet) Call(ctx context.Context, h peers.Host, _ string, args, reply any) error {
	if f.call != nil {
		return f.call(ctx)
	}
	return admission.NewService(f.host(h.ID).owner, nil).Admit(args.(admission.AdmitArgs), reply.(*admission.AdmitReply))
}

func (f *testFleet) host(id string) *testHost {
	return f.hosts[slices.IndexFunc(f.hosts, func(h *testHost) bool { return h.id == id })]
}

// report delivers the reports of all hosts.
func (f *testFleet) report() {
	for _, h := range f.hosts {
		for id, report := range h.client.Reports().ByHost {
			f.host(id).owner.ApplyReport(h.id, report)
		}
	}
}

var lastProgram uint64

// admitAll asks for places until one is refused, and returns how many programs were admitted.
func admitAll(admit func(admission.Request) admission.Decision) (admitted int, refused admission.Decision) {
	for {
		lastProgram++
		d := admit(admission.Request{Service: "s", Program: lastProgram, Route: "a", TimeLeft: 2 * time.Second})
		if !d.Admitted() {
			return admitted, d
		}
		admitted++
	}
}

func (h *testHost) admitAll() (admitted int, refused admission.Decision) {
	return admitAll(func(r admission.Request) admission.Decision { return h.client.Admit(context.Background(), r) })
}

// admittedByAll returns the number of programs that an idle service begins.
func admittedByAll() int {
	n, _ := newTestFleet(1).hosts[0].admitAll()
	return n
}

// isPart reports whether n is a part of whole, rounded up or down.
func isPart(n, whole int, part float64) bool {
	want := float64(whole) * part
	return float64(n) > want-2 && float64(n) < want+2
}

// TestOwnerLost guards against a new owner that takes the engines for idle, or for full, because it
// knows of no program that the lost owner admitted.
func TestOwnerLost(t *testing.T) {
	for _, c := range []struct {
		name     string
		inFlight int // of each host
		want     float64
	}{{"full engines", fleetSlots / 2, 0}, {"half full engines", fleetSlots / 4, 0.5}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newTestFleet(3)
			f.hosts[1].inFlight, f.hosts[2].inFlight = c.inFlight, c.inFlight
			f.report()
			f.hosts[0].lost, f.alive = true, 2
			n, refused := f.hosts[2].admitAll()
			t.Logf("%d of %d admitted: %+v", n, admittedByAll(), refused)
			is.Equal(refused.InFlight, float64(2*c.inFlight))
			is.True(float64(n) >= 0.8*c.want*float64(admittedByAll()))
			is.True(float64(n) <= 1.2*c.want*float64(admittedByAll())+1)
		})
	}
}

// TestOwnerSilent guards against requests that wait for an owner which does not answer, and against
// hosts that together admit more than the service's slots meanwhile.
func TestOwnerSilent(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(4)
	f.call = func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	begin := time.Now()
	d := f.hosts[1].client.Admit(context.Background(), admission.Request{Service: "s", Program: 1, Route: "b", TimeLeft: time.Second})
	took := time.Since(begin)
	is.True(d.Admitted())
	is.True(took >= 55*time.Millisecond && took < 250*time.Millisecond) // 60 ms on a busy machine

	f.call = func(context.Context) error { return context.DeadlineExceeded }
	n, _ := f.hosts[2].admitAll()
	t.Logf("waited %v; %d of %d admitted by one of 4 hosts", took, n, admittedByAll())
	is.True(isPart(n, admittedByAll(), 0.25))
}

// TestMinorityUsesItsPart guards against both sides of a partition that admit as much as the whole
// fleet may.
func TestMinorityUsesItsPart(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(2)
	f.known, f.alive = 10, 3
	n, _ := f.hosts[0].admitAll()
	is.True(isPart(n, admittedByAll(), 0.3)) // the owner on its side, for three hosts

	f = newTestFleet(2)
	f.known, f.alive = 10, 3
	f.call = func(context.Context) error { return context.DeadlineExceeded }
	n, _ = f.hosts[1].admitAll()
	is.True(isPart(n, admittedByAll(), 0.1)) // a host without an owner, for itself

	f.alive = 6
	f.hosts[1].client = admission.NewClient(f.hosts[1], f, f.hosts[1].owner, f.hosts[1].loads)
	n, _ = f.hosts[1].admitAll()
	is.True(isPart(n, admittedByAll(), 1.0/6)) // in the majority
}

// TestOwnerOfEarlierBuild guards against programs that fail because the owner of their service does
// not know the call.
func TestOwnerOfEarlierBuild(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(2)
	f.call = func(context.Context) error { return rpc.ServerError("rpc: can't find service Admission.Admit") }
	n, refused := f.hosts[1].admitAll()
	is.True(isPart(n, admittedByAll(), 0.5))
	is.True(refused.RetryAfter > 0)
}

// TestUnknownReasonOfLaterBuild guards against a program that begins because the owner refused it for
// a reason that this build does not know.
func TestUnknownReasonOfLaterBuild(t *testing.T) {
	is := is.New(t)
	d := admission.Decision{Reason: 200}
	is.True(!d.Admitted())
	is.Equal(d.Reason.String(), "unknown")
}

// TestReportOfEarlierBuild guards against a message without the field that changes what the sender or
// others have reported, or that ends the process.
func TestReportOfEarlierBuild(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(2)
	f.hosts[0].inFlight = fleetSlots
	f.report()
	f.hosts[0].owner.ApplyReport("old", nil)
	f.hosts[0].owner.ApplyReport("0", nil)
	_, refused := f.hosts[1].admitAll()
	is.Equal(refused.InFlight, float64(fleetSlots))
	is.Equal(len(f.hosts[0].owner.InFlight(admission.Hash("s")).Replicas), 1)
}

// TestReportsOfLostHostEnd guards against requests of a lost host that count for ever.
func TestReportsOfLostHostEnd(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(2)
	f.hosts[1].inFlight = 7
	f.report()
	service := admission.Hash("s")
	is.Equal(sum(f.hosts[0].owner.InFlight(service).Replicas), 7)
	time.Sleep(1100 * time.Millisecond)
	is.Equal(sum(f.hosts[0].owner.InFlight(service).Replicas), 0)
}

// TestReportsOnlyWhileBusy guards against reports more often than five times a second, and against
// reports of idle hosts.
func TestReportsOnlyWhileBusy(t *testing.T) {
	const interval = 210 * time.Millisecond
	is := is.New(t)
	f := newTestFleet(4)
	owner, h := f.hosts[0], f.hosts[3]
	h.inFlight = 3
	reports := h.client.Reports()
	is.Equal(len(reports.ByHost), 2) // the owner and the next candidate
	is.Equal(len(reports.All), 0)
	is.Equal(reports.ByHost["0"][0].Routes, map[uint32]uint16{admission.Hash("a"): 3})
	is.Equal(len(h.client.Reports().ByHost), 0) // less than 200 ms later
	owner.owner.ApplyReport(h.id, reports.ByHost["0"])
	all := owner.client.Reports().All
	is.Equal(len(all), 1)
	is.Equal(sum(all[0].Replicas), 3)

	h.inFlight = 0
	time.Sleep(interval)
	ended := h.client.Reports()
	is.Equal(len(ended.ByHost), 2) // nothing in flight any more
	owner.owner.ApplyReport(h.id, ended.ByHost["0"])
	all = owner.client.Reports().All
	is.Equal(len(all), 1)
	is.Equal(sum(all[0].Replicas), 0)
	time.Sleep(interval)
	is.Equal(len(h.client.Reports().ByHost), 0)
	is.Equal(len(owner.client.Reports().All), 0)
}

func sum(counts map[uint32]uint16) (total int) {
	for _, n := range counts {
		total += int(n)
	}
	return total
}

// TestReportBeforeFirstAdmission guards against an owner that knows the routes of requests in flight
// only from programs it admitted itself.
func TestReportBeforeFirstAdmission(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(2)
	f.hosts[1].inFlight = fleetSlots
	f.report()
	d := f.hosts[1].client.Admit(context.Background(), admission.Request{Service: "s", Program: 1, Route: "other", TimeLeft: 2 * time.Second})
	is.Equal(d.InFlight, float64(fleetSlots))
	is.True(!d.Admitted())
}
