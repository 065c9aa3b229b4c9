package quota

import (
	"context"
	"errors"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/event"
	"cowslipgw/internal/peers"
	"cowslipgw/internal/route"
)

// takeoverBound is the bound of the tests with clients, which run on the real clock.
var takeoverBound = Bound{Window: time.Second, Excess: 0.1, Slack: 5}

// clientFleet is a fleet of clients that call each other's limiters directly. The first live host in
// order owns each bucket.
type clientFleet struct {
	mu   sync.Mutex
	live []bool
	// silent hosts do not answer.
	silent  map[int]bool
	hosts   []peers.Host
	clients []*Client
	// admitted holds the times of the admitted requests.
	admitted []boottime.Instant
}

// fleetMember is a host of a clientFleet.
type fleetMember struct {
	fleet *clientFleet
	n     int
}

// newClientFleet returns hosts that have run for a minute in which account x has sent nothing.
func newClientFleet(hosts int, rate, burst float64) *clientFleet {
	f := &clientFleet{silent: make(map[int]bool)}
	for n := range hosts {
		f.live = append(f.live, true)
		f.hosts = append(f.hosts, peers.Host{ID: string(rune('a' + n)), Incarnation: 1})
		f.clients = append(f.clients, nil)
	}
	for n := range hosts {
		f.start(n)
		f.clients[n].limiter.started = boottime.Now().Add(-time.Minute)
		b := f.clients[n].limiter.bucketLocked(accountHash("x"))
		b.configure(1, rate, burst, boottime.Now())
		b.level, b.localLevel = burst, burst/float64(hosts)
	}
	return f
}

// start starts a host without a memory of an earlier run.
func (f *clientFleet) start(n int) {
	f.mu.Lock()
	f.live[n] = true
	f.hosts[n].Incarnation++
	f.mu.Unlock()
	m := fleetMember{f, n}
	f.clients[n] = NewClient(m, m, NewLimiter(takeoverBound, f.counts))
}

// lose makes the other hosts notice the loss of a host.
func (f *clientFleet) lose(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.live[n] = false
}

func (f *clientFleet) counts() (known, alive int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, live := range f.live {
		if live {
			alive++
		}
	}
	return len(f.live), alive
}

// report sends the usage reports that are due.
func (f *clientFleet) report() {
	for from, c := range f.clients {
		if !f.live[from] || f.silent[from] {
			continue
		}
		for id, usage := range c.UsageReports() {
			f.clients[id[0]-'a'].limiter.ApplyUsage(f.hosts[from].ID, f.hosts[from].Incarnation, usage)
		}
	}
}

func (m fleetMember) Self() peers.Host { return m.fleet.hosts[m.n] }

func (m fleetMember) Others() []peers.Host { return nil }

func (m fleetMember) Candidates(key uint64, limit int) []peers.Host {
	return m.StorelessCandidates(key, limit)
}

func (m fleetMember) StorelessCandidates(_ uint64, limit int) []peers.Host {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	var candidates []peers.Host
	for n, live := range m.fleet.live {
		if live && len(candidates) < limit {
			candidates = append(candidates, m.fleet.hosts[n])
		}
	}
	return candidates
}

// errSilent is the result of a call to a silent host.
var errSilent = errors.New("no answer")

func (m fleetMember) Call(_ context.Context, h peers.Host, method string, args, reply any) error {
	callee := int(h.ID[0] - 'a')
	if m.fleet.silent[callee] || method != ServiceName+".Take" {
		return errSilent
	}
	return NewService(m.fleet.clients[callee].limiter, event.Discard()).Take(args.(TakeArgs), reply.(*TakeReply))
}

// press sends requests of one account to all live hosts for d, far above its rate.
func (f *clientFleet) press(d time.Duration, rate, burst float64) {
	account := &route.Account{Name: "x", Rate: rate, Burst: burst}
	first := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Millisecond) {
		first++
		for i := range f.clients {
			n := (first + i) % len(f.clients)
			if !f.live[n] || f.silent[n] {
				continue
			}
			if reply, _ := f.clients[n].Admit(context.Background(), account, 1, Request{}); reply.Admitted {
				f.admitted = append(f.admitted, boottime.Now())
			}
		}
		f.report()
	}
}

// mostInWindow returns the largest number of requests that were admitted in a window.
func (f *clientFleet) mostInWindow() int {
	most, first := 0, 0
	for n, at := range f.admitted {
		for at.Sub(f.admitted[first]) >= takeoverBound.Window {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

// takeoverLimit returns what the bound allows an account in a window.
func takeoverLimit(rate, burst float64) float64 {
	return (rate*takeoverBound.Window.Seconds()+burst)*(1+takeoverBound.Excess) + takeoverBound.Slack
}

// TestLossOfAllHostsThatKnowUsage guards against an account that gets a second burst because the
// owner of its bucket and all hosts that it reports to are lost at once, and another part of one as
// they return.
func TestLossOfAllHostsThatKnowUsage(t *testing.T) {
	is := is.New(t)
	const rate, burst = 300, 300
	f := newClientFleet(10, rate, burst)
	f.press(250*time.Millisecond, rate, burst)
	for n := range 3 {
		f.lose(n)
	}
	f.press(300*time.Millisecond, rate, burst)
	for n := range 3 {
		f.start(n)
	}
	f.press(time.Second, rate, burst)
	t.Logf("%d admitted in a window", f.mostInWindow())
	is.True(float64(f.mostInWindow()) <= takeoverLimit(rate, burst))
	is.True(len(f.admitted) > burst)
}

// TestSilentOwnerGivesNoSecondBurst guards against an account that gets a second burst from the
// hosts that decide on their own while the owner of its bucket does not answer.
func TestSilentOwnerGivesNoSecondBurst(t *testing.T) {
	is := is.New(t)
	const rate, burst = 300, 300
	f := newClientFleet(10, rate, burst)
	f.press(300*time.Millisecond, rate, burst)
	f.silent[0] = true
	f.press(200*time.Millisecond, rate, burst)
	f.lose(0)
	f.press(time.Second, rate, burst)
	t.Logf("%d admitted in a window", f.mostInWindow())
	is.True(float64(f.mostInWindow()) <= takeoverLimit(rate, burst))
	is.True(len(f.admitted) > burst)
}

// TestUsageOfEarlierOwnerLeavesWindow guards against an account within its rate that is refused
// after a change of owners, since all its usage counts as new.
func TestUsageOfEarlierOwnerLeavesWindow(t *testing.T) {
	is := is.New(t)
	fleet := fleetSize{known: 10, alive: 7}
	factor := func(_ granter, hosts int) float64 { return fleet.lossFactor(hosts, 0) }
	now := boottime.Instant(time.Hour)
	b := newBucket(testBound)
	b.configure(1, testRate, testBurst, now)
	former, owner := granter{"former", 1}, granter{"owner", 1}
	history := make(received)
	for step := range 1000 { // 10 s at 60% of the rate at one of the seven hosts, which sees a seventh of it
		now = now.Add(10 * time.Millisecond)
		if step%10 < 6 && step%14 == 0 {
			history.add(former, 1, 10, now, testWindow)
		}
	}
	for step := range 1000 {
		now = now.Add(10 * time.Millisecond)
		if step%10 >= 6 {
			continue
		}
		for host := range 7 {
			b.elsewhere.set(string(rune('a'+host)), history.except(owner, now, testWindow), factor, now, testWindow)
		}
		if step%2 == 0 {
			is.True(b.take(now, fleet, Request{}, true))
		}
	}
	is.Equal(len(history.except(owner, now, testWindow)), 0)
	is.Equal(len(b.elsewhere), 0)
}

// TestElsewhereExcludesOwner guards against requests that count twice at the owner that admitted them.
func TestElsewhereExcludesOwner(t *testing.T) {
	is := is.New(t)
	now := boottime.Instant(time.Hour)
	history := make(received)
	history.add(granter{"a", 1}, 4, 10, now, testWindow)
	history.add(granter{"a", 2}, 3, 10, now, testWindow)
	history.add(granter{"a", 2}, -1, 10, now, testWindow)
	count := func(owner granter) int {
		total := 0
		for _, past := range history.except(owner, now, testWindow) {
			for _, count := range past.Counts {
				total += int(count.Admitted)
			}
		}
		return total
	}
	is.Equal(count(granter{"a", 1}), 2)
	is.Equal(count(granter{"a", 2}), 4) // its host has restarted and forgotten the first four
	is.Equal(count(granter{"b", 1}), 6)
}

// TestLossIsExtrapolatedOnlyBeforeIt guards against an account that is refused within its rate after a loss of
// hosts, because what it sent to the others since is multiplied as well.
func TestLossIsExtrapolatedOnlyBeforeIt(t *testing.T) {
	is := is.New(t)
	now := boottime.Instant(time.Hour)
	history := make(received)
	history.add(granter{"lost", 1}, 70, 10, now, testWindow)
	now = now.Add(time.Second)
	history.add(granter{"next", 1}, 200, 7, now, testWindow)
	fleet := fleetSize{known: 10, alive: 10} // three hosts have returned
	e := make(elsewhere)
	factor := func(_ granter, hosts int) float64 { return fleet.lossFactor(hosts, 3) }
	e.set("a", history.except(granter{"owner", 1}, now, testWindow), factor, now, testWindow)
	admitted, estimate := e.sum(now, testWindow)
	is.Equal(int(math.Round(admitted)), 270)
	is.Equal(int(math.Round(estimate)), 300)
}

// TestPlannedStopIsNotExtrapolated guards against an account that is refused within its rate after planned stops: the
// usage of the former owner is known by its reports.
func TestPlannedStopIsNotExtrapolated(t *testing.T) {
	is := is.New(t)
	counts := func() (known, alive int) { return 10, 7 }
	l := NewLimiter(Bound{Window: testWindow, Excess: testExcess}, counts)
	l.started = l.started.Add(-time.Minute)
	args := TakeArgs{Account: "x", Version: 1, Rate: testRate, Burst: testBurst, Host: "a",
		Elsewhere: []PastGrants{{Host: "former", Incarnation: 1, Counts: []PastCount{{Admitted: 100, Hosts: 10}}}}}
	admittedByAll := func() int {
		l.Take(args, true)
		b := l.bucketLocked(accountHash("x"))
		return int(math.Round(b.admittedByAll() - b.admitted.sum))
	}
	is.Equal(admittedByAll(), 143)
	// One of the 121 requests is what this host has admitted.
	l.ApplyUsage("former", 1, peers.UsageReport{Counts: map[uint32]peers.Usage{accountHash("x"): {Admitted: 120, Recent: 121}}})
	is.Equal(admittedByAll(), 120)
}

// TestStartedOwnerTrustsReports guards against an account that is refused within its rate while hosts are stopped and started
// in turn: an owner that has started knows the window by the report of the former owner.
func TestStartedOwnerTrustsReports(t *testing.T) {
	is := is.New(t)
	l := NewLimiter(Bound{Window: testWindow, Excess: testExcess}, func() (known, alive int) { return 10, 7 })
	account := accountHash("x")
	l.bucketLocked(account).configure(1, testRate, testBurst, boottime.Now())
	args := TakeArgs{Account: "x", Version: 1, Rate: testRate, Burst: testBurst, Host: "a",
		Elsewhere: []PastGrants{{Host: "unknown", Incarnation: 1, Counts: []PastCount{{Admitted: 100, Hosts: 10}}}}}
	elsewhere := func() int {
		l.Take(args, true)
		b := l.bucketLocked(account)
		return int(math.Round(b.admittedByAll() - b.admitted.sum))
	}
	is.Equal(elsewhere(), 143)
	l.ApplyUsage("former", 1, peers.UsageReport{Counts: map[uint32]peers.Usage{account: {Admitted: 10, Recent: 111}}})
	is.Equal(elsewhere(), 121) // a tenth more than the report
}

// TestPastUsageLeavesWindowInTime guards against an account that is refused for a whole window after a start of its owner,
// because all its usage by the report of the former owner counts as new.
func TestPastUsageLeavesWindowInTime(t *testing.T) {
	is := is.New(t)
	now := boottime.Instant(time.Hour)
	fleet := fleetSize{known: 10, alive: 10}
	former, next := newBucket(testBound), newBucket(testBound)
	former.configure(1, testRate, testBurst, now)
	press := func(b *bucket, d time.Duration) (admitted int) {
		for end := now.Add(d); now < end; now = now.Add(10 * time.Millisecond) {
			if b.take(now, fleet, Request{}, true) {
				admitted++
			}
		}
		return admitted
	}
	press(former, 6*time.Second)
	next.configure(1, testRate, testBurst, now)
	next.refill(now, fleet)
	all := former.windowOfAll()
	next.applyUsage("former", 1, peers.Usage{Admitted: 300, Recent: uint32(former.admittedByAll())}, all.byAge())
	admitted := press(next, 4*time.Second)
	is.True(admitted <= 4*testRate+testBurst)
	is.True(admitted >= 3.8*testRate)
}
