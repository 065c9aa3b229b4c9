package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/peers"
)

const (
	testRate   = 50.0
	testBurst  = 50.0
	testWindow = 5 * time.Second
	testExcess = 0.1
)

// testBound is the bound in most tests. It has no slack, so the tests check the Excess
// tolerance alone.
var testBound = Bound{Window: testWindow, Excess: testExcess}

// testFleet simulates the buckets of one account at several hosts on a virtual clock.
type testFleet struct {
	now     boottime.Instant
	buckets []*bucket
}

func newTestFleet(hosts int) *testFleet {
	f := &testFleet{now: boottime.Instant(time.Hour)}
	for range hosts {
		b := newBucket(testBound)
		b.configure(1, testRate, testBurst, f.now)
		f.buckets = append(f.buckets, b)
	}
	return f
}

// gossip sends each bucket's usage to the buckets for which hears returns true.
func (f *testFleet) gossip(hears func(from, to int) bool) {
	size := fleetSize{known: len(f.buckets), alive: len(f.buckets)}
	for to, b := range f.buckets {
		for from, other := range f.buckets {
			if from != to && hears(from, to) {
				b.refill(f.now, size)
				b.applyUsage(string(rune('a'+from)), 1, other.usage, nil)
			}
		}
	}
}

func all(int, int) bool { return true }

// TestRateOverChangingOwners guards against an account that gets more than its rate and
// burst when the owner of its bucket changes repeatedly.
func TestRateOverChangingOwners(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(10)
	f.gossip(all)
	size := fleetSize{known: 10, alive: 10}
	admitted := 0
	for step := range 500 { // 5 s, 1,000 requests a second
		f.now = f.now.Add(10 * time.Millisecond)
		owner := step / 50 % 10
		for range 10 {
			if f.buckets[owner].take(f.now, size, Request{}, true) {
				admitted++
			}
		}
		if step%20 == 0 {
			f.gossip(all)
		}
	}
	bound := (testRate*testWindow.Seconds() + testBurst) * (1 + testExcess)
	is.True(float64(admitted) <= bound)
	is.True(float64(admitted) >= testRate*testWindow.Seconds())
}

// TestRateWithoutOwner guards against hosts that together admit more than the account's
// rate while none of them reaches the owner.
func TestRateWithoutOwner(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(10)
	size := fleetSize{known: 10, alive: 1}
	admitted := 0
	for range 500 {
		f.now = f.now.Add(10 * time.Millisecond)
		for _, b := range f.buckets {
			if b.take(f.now, size, Request{}, false) {
				admitted++
			}
		}
	}
	is.True(float64(admitted) <= (testRate*testWindow.Seconds()+testBurst)*(1+testExcess))
	is.True(admitted > 100)
}

// TestNewOwnerAdmitsWithinRate guards against wrong refusals by a host that becomes the
// owner of a bucket whose usage it only received through heartbeats.
func TestNewOwnerAdmitsWithinRate(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(3)
	f.gossip(all)
	size := fleetSize{known: 3, alive: 3}
	for step := range 1000 { // 10 s at 60% of the rate
		f.now = f.now.Add(10 * time.Millisecond)
		if step%10 < 3 {
			is.True(f.buckets[0].take(f.now, size, Request{}, true))
		}
		if step%20 == 0 {
			f.gossip(all)
		}
	}
	for range 20 {
		is.True(f.buckets[1].take(f.now, size, Request{}, true))
	}
}

// TestRestartedHostCountsAnew guards against a bucket that is drained by the counters of a
// restarted host.
func TestRestartedHostCountsAnew(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1)
	b := f.buckets[0]
	b.applyUsage("x", 1, peers.Usage{Admitted: 1000}, nil)
	before := b.level
	b.applyUsage("x", 2, peers.Usage{Admitted: 3}, nil)
	is.Equal(before-b.level, 3.0)
}

// simulateOverload simulates an account that starts twice as many programs as its rate
// allows, and returns how many started and how many finished. If wholePrograms is set, the
// bucket admits programs as a whole, and otherwise request by request.
func simulateOverload(wholePrograms bool) (started, finished int) {
	const perProgram = 10
	f := newTestFleet(1)
	b := f.buckets[0]
	size := fleetSize{known: 1, alive: 1}
	var left []int
	for step := range 2000 { // 20 s
		f.now = f.now.Add(10 * time.Millisecond)
		if step%10 == 0 { // 10 programs a second, of 10 requests each
			started++
			r := Request{Start: wholePrograms, Cost: perProgram, Urgent: true}
			if b.take(f.now, size, r, true) {
				left = append(left, perProgram-1)
			}
		}
		running := left[:0]
		for _, n := range left {
			switch {
			case step%5 != 0:
				running = append(running, n)
			case b.take(f.now, size, Request{}, true):
				if n > 1 {
					running = append(running, n-1)
				} else {
					finished++
				}
			}
		}
		left = running
	}
	return started, finished
}

// TestWholeProgramsUnderOverload guards against an overloaded account that finishes hardly
// any programs although half of them could be served, as happens when requests are refused
// one by one.
func TestWholeProgramsUnderOverload(t *testing.T) {
	is := is.New(t)
	started, finished := simulateOverload(true)
	_, finishedUnaware := simulateOverload(false)
	t.Logf("%d programs started, %d finished, %d finished with requests admitted one by one", started, finished, finishedUnaware)
	is.True(finished >= started*4/10)
	is.True(finished > finishedUnaware)
}

// TestRateOverLossOfAllHosts covers the loss of all hosts: accounts within their rate must
// not be refused when their callers return together, and accounts above it must not get
// more than the bound in the windows around the loss.
func TestRateOverLossOfAllHosts(t *testing.T) {
	is := is.New(t)
	bound := Bound{Window: testWindow, Excess: testExcess, Slack: 20}
	for _, rate := range []float64{4, 8, 50, 400} {
		now := boottime.Instant(time.Hour)
		newConfiguredBucket := func() *bucket {
			b := newBucket(bound)
			b.configure(1, rate, rate, now)
			return b
		}
		b := newConfiguredBucket()
		now = now.Add(10 * time.Second)
		var admitted []boottime.Instant
		maxInWindow := 0
		saturate := func(d time.Duration) {
			for end := now.Add(d); now < end; now = now.Add(time.Millisecond) {
				if b.take(now, oneHost, Request{}, true) {
					admitted = append(admitted, now)
				}
				inWindow := 0
				for i := len(admitted) - 1; i >= 0 && now.Sub(admitted[i]) < testWindow; i-- {
					inWindow++
				}
				maxInWindow = max(maxInWindow, inWindow)
			}
		}
		saturate(6 * time.Second)
		now = now.Add(time.Second) // all hosts are down
		b = newConfiguredBucket()
		readmitted := 0
		for range 5 { // returning callers of a small account
			if b.take(now, oneHost, Request{}, true) {
				readmitted++
				admitted = append(admitted, now)
			}
		}
		is.Equal(readmitted, 5)
		saturate(6 * time.Second)
		is.True(float64(maxInWindow) <= (rate*testWindow.Seconds()+rate)*(1+bound.Excess)+bound.Slack)
	}
}

// TestNewOwnerWithoutBaseline guards against an account that gets the requests of a window
// twice because its bucket moves to a host that has just begun to receive its usage.
func TestNewOwnerWithoutBaseline(t *testing.T) {
	is := is.New(t)
	now := boottime.Now()
	b := newBucket(Bound{Window: 5 * time.Second})
	b.configure(1, 10, 50, now)
	fleet := fleetSize{known: 2, alive: 2}
	b.level = b.capacity()
	b.refill(now, fleet)
	b.applyUsage("x", 1, peers.Usage{Admitted: 5000, Recent: 90}, nil)
	admitted := 0
	for range 200 {
		if b.take(now, fleet, Request{}, true) {
			admitted++
		}
	}
	is.Equal(admitted, 10) // the window allows 100
}
