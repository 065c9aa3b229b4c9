package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/peers"
)

// newSmallBucket returns the bucket of an account whose rate is below the peak demand of
// one program, as seen by a single host after ten idle seconds.
func newSmallBucket(rate float64) (*bucket, boottime.Instant) {
	now := boottime.Instant(time.Hour)
	b := newBucket(testBound)
	b.configure(1, rate, rate, now)
	return b, now.Add(10 * time.Second)
}

var oneHost = fleetSize{known: 1, alive: 1}

// TestSmallAccountRunsWholeProgram guards against refusing a request in the middle of a
// program, which fails the whole program. The program needs more in a second than the rate
// and burst of a second, but less than the rate and burst of the window.
func TestSmallAccountRunsWholeProgram(t *testing.T) {
	is := is.New(t)
	b, now := newSmallBucket(8)
	const requests = 40
	for n := range requests { // 15 a second
		is.True(b.take(now, oneHost, Request{Start: n == 0, Cost: requests}, true))
		now = now.Add(66 * time.Millisecond)
	}
}

// TestSmallAccountKeepsToWindow guards against an account that gets more than rate and
// burst in any window, however it spaces its requests.
func TestSmallAccountKeepsToWindow(t *testing.T) {
	is := is.New(t)
	for _, pause := range []time.Duration{10 * time.Millisecond, 90 * time.Millisecond, 130 * time.Millisecond} {
		b, now := newSmallBucket(8)
		var admitted []boottime.Instant
		for range 3000 {
			now = now.Add(pause)
			if !b.take(now, oneHost, Request{}, true) {
				continue
			}
			admitted = append(admitted, now)
			inWindow := 0
			for _, at := range admitted {
				if now.Sub(at) < testWindow {
					inWindow++
				}
			}
			is.True(inWindow <= 8*5+8)
		}
		is.True(len(admitted) > 0)
	}
}

// TestSmallAccountBeginsNoMoreThanItCanEnd guards against refusing programs in the middle:
// if a program does not fit into the window along with the running ones, it must be refused
// at its start.
func TestSmallAccountBeginsNoMoreThanItCanEnd(t *testing.T) {
	is := is.New(t)
	b, now := newSmallBucket(8)
	begun := 0
	for range 4 {
		if b.take(now, oneHost, Request{Start: true, Cost: 20, Urgent: true}, true) {
			begun++
		}
	}
	is.Equal(begun, 2) // of 20 requests each; the window allows 48
	wait := b.retryAfter(oneHost, Request{Start: true, Cost: 20}, true)
	is.True(wait > 0)
	is.True(wait <= testWindow+slotTime(testWindow))
}

// TestUnrunRequestIsRefunded guards against accounts that are refused within their rate
// because of requests that were answered without reaching a replica, such as the turns of a
// program whose budget is exhausted.
func TestUnrunRequestIsRefunded(t *testing.T) {
	is := is.New(t)
	b, now := newSmallBucket(8)
	for range 200 {
		r := Request{Start: true, Cost: 10}
		is.True(b.take(now, oneHost, r, true))
		b.refund(now, oneHost, r, true)
	}
}

// TestRefundsReachOtherHosts guards against hosts that keep counting a request that the
// owner of the bucket has refunded.
func TestRefundsReachOtherHosts(t *testing.T) {
	is := is.New(t)
	b, now := newSmallBucket(8)
	b.refill(now, oneHost)
	b.applyUsage("x", 1, peers.Usage{Admitted: 4, Committed: 40}, nil)
	before := b.level
	b.applyUsage("x", 1, peers.Usage{Admitted: 3, Committed: 30}, nil)
	is.Equal(b.level, min(before+1, b.capacity()))
}

// TestUsageBeforeConfiguration guards against accounts that are refused permanently by a host
// which receives their usage before it has read their rate, as each restarted host does.
func TestUsageBeforeConfiguration(t *testing.T) {
	is := is.New(t)
	l := NewLimiter(Bound{Window: 100 * time.Millisecond}, func() (int, int) { return 2, 2 })
	l.ApplyUsage("x", 1, peers.UsageReport{Counts: map[uint32]peers.Usage{accountHash("a"): {Admitted: 1}}})
	admitted := 0
	for range 100 { // far below the rate in every window
		time.Sleep(25 * time.Millisecond)
		if l.Take(TakeArgs{Account: "a", Version: 1, Rate: 50, Burst: 50}, true).Admitted {
			admitted++
		}
	}
	is.True(admitted >= 99) // the bucket has no history and may be empty at first
}
