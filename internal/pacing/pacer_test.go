package pacing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/boottime"
)

const (
	// window, tolerance and slack describe what a replica bears: in any window the requests
	// that its rate allows, half as many again, and five.
	window    = 4 * time.Second
	tolerance = 1.5
	slack     = 5
	// callInterval is the time between two requests that each host wants to send.
	callInterval = 5 * time.Millisecond
	// testLength is the simulated time of a test.
	testLength = 20 * time.Second
)

var testReplica = Replica{ID: "r", Incarnation: 1}

// testFleet simulates hosts that all send to one replica, on a virtual clock.
type testFleet struct {
	now    boottime.Instant
	pacers []*Pacer
	// pausedUntil is when each host asks again.
	pausedUntil []boottime.Instant
	sent        []boottime.Instant
}

// newTestFleet returns a fleet. Counts returns the number of known and of live hosts that a host
// sees.
func newTestFleet(hosts int, counts func(host int) (known, alive int)) *testFleet {
	f := &testFleet{now: boottime.Instant(time.Hour), pausedUntil: make([]boottime.Instant, hosts)}
	for host := range hosts {
		p := NewPacer(func() (int, int) { return counts(host) })
		p.now = func() boottime.Instant { return f.now }
		f.pacers = append(f.pacers, p)
	}
	return f
}

// run lets every host send as much as it may. Owner returns the host that a host asks, or a
// negative number if it reaches none.
func (f *testFleet) run(perSecond float64, owner func(host int, at time.Duration) int) {
	start := f.now
	for ; f.now.Sub(start) < testLength; f.now = f.now.Add(callInterval) {
		for host, p := range f.pacers {
			if f.now < f.pausedUntil[host] {
				continue
			}
			args := ReserveArgs{Replica: testReplica, PerSecond: perSecond, MaxWait: callInterval}
			var reply ReserveReply
			if asked := owner(host, f.now.Sub(start)); asked >= 0 {
				reply = f.pacers[asked].Reserve(args)
			} else {
				reply = p.ReserveShare(args)
			}
			if reply.Granted {
				f.sent = append(f.sent, f.now.Add(reply.Wait))
			} else {
				f.pausedUntil[host] = f.now.Add(reply.Wait)
			}
		}
	}
}

// check fails if the replica got more than it bears, or less than the given part of its rate.
func (f *testFleet) check(t *testing.T, perSecond, part float64) {
	t.Helper()
	for n, first := range f.sent {
		count := 0
		for _, at := range f.sent[n:] {
			if at.Sub(first) >= 0 && at.Sub(first) < window {
				count++
			}
		}
		if borne := tolerance*perSecond*window.Seconds() + slack; float64(count) > borne {
			t.Fatalf("%d hosts, %v a second: %d requests in a window, %v are borne", len(f.pacers), perSecond, count, borne)
		}
	}
	if least := part * perSecond * testLength.Seconds(); float64(len(f.sent)) < least {
		t.Fatalf("%d hosts, %v a second: %d requests in all, less than %v", len(f.pacers), perSecond, len(f.sent), least)
	}
}

func allOf(hosts int) func(int) (int, int) {
	return func(int) (int, int) { return hosts, hosts }
}

// forEachSize runs a test with small and large fleets, and with low and high rates.
func forEachSize(t *testing.T, test func(t *testing.T, hosts int, perSecond float64)) {
	for _, hosts := range []int{3, 10, 100, 300} {
		for _, perSecond := range []float64{0.5, 4, 15, 100} {
			test(t, hosts, perSecond)
		}
	}
}

// TestRateWithOneOwner guards against hosts that together exceed a replica's rate, and against
// a rate that they do not use.
func TestRateWithOneOwner(t *testing.T) {
	forEachSize(t, func(t *testing.T, hosts int, perSecond float64) {
		f := newTestFleet(hosts, allOf(hosts))
		f.run(perSecond, func(int, time.Duration) int { return 0 })
		f.check(t, perSecond, 0.9)
	})
}

// TestRateOverRollingRestart guards against owners that each start with a burst: in a rolling
// restart a replica changes its owner every second.
func TestRateOverRollingRestart(t *testing.T) {
	forEachSize(t, func(t *testing.T, hosts int, perSecond float64) {
		f := newTestFleet(hosts, allOf(hosts))
		f.run(perSecond, func(_ int, at time.Duration) int { return int(at/time.Second) % hosts })
		f.check(t, perSecond, 0.9)
	})
}

// TestRateWithoutOwner guards against hosts that all send at once, or too much, in the moment in
// which they lose the owner of a replica.
func TestRateWithoutOwner(t *testing.T) {
	forEachSize(t, func(t *testing.T, hosts int, perSecond float64) {
		f := newTestFleet(hosts, allOf(hosts))
		lost := func(at time.Duration) bool { return at%(5*time.Second) > 4*time.Second }
		f.run(perSecond, func(_ int, at time.Duration) int {
			if lost(at) {
				return -1
			}
			return 0
		})
		f.check(t, perSecond, 0.5)
	})
}

// TestRateWithOwnerReachedByHalf guards against a rate that is used twice: by the hosts that
// reach the owner and by those that do not.
func TestRateWithOwnerReachedByHalf(t *testing.T) {
	forEachSize(t, func(t *testing.T, hosts int, perSecond float64) {
		f := newTestFleet(hosts, allOf(hosts))
		f.run(perSecond, func(host int, _ time.Duration) int {
			if host%2 == 0 {
				return -1
			}
			return 1
		})
		f.check(t, perSecond, 0.9)
	})
}

// TestRateOfSplitFleet guards against two parts of a fleet that do not hear each other and both
// use the whole rate.
func TestRateOfSplitFleet(t *testing.T) {
	forEachSize(t, func(t *testing.T, hosts int, perSecond float64) {
		minority := (hosts - 1) / 2
		f := newTestFleet(hosts, func(host int) (known, alive int) {
			if host < minority {
				return hosts, minority
			}
			return hosts, hosts - minority
		})
		f.run(perSecond, func(host int, _ time.Duration) int {
			if host < minority {
				return 0
			}
			return minority
		})
		f.check(t, perSecond, 0.9)
	})
}

// TestLatestRateIsUsed guards against an owner that goes on with an old rate although a host
// has learned of a lower one, and against an old rate that replaces the lower one.
func TestLatestRateIsUsed(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1, allOf(1))
	p := f.pacers[0]
	p.Reserve(ReserveArgs{Replica: testReplica, PerSecond: 100})
	f.now = f.now.Add(time.Second)
	is.Equal(p.Reserve(ReserveArgs{Replica: testReplica, PerSecond: 10}).PerSecond, 10.0)
	f.now = f.now.Add(time.Second)
	reply := p.Reserve(ReserveArgs{Replica: testReplica, PerSecond: 100, Age: 1500 * time.Millisecond})
	is.Equal(reply.PerSecond, 10.0)
	is.Equal(reply.Age, time.Second)
}
