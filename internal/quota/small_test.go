package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/peers"
)

// newSmallBucket returns the bucket of an account whose rate is below what one program
// needs at its peak, as the only host sees it after ten idle seconds.
func newSmallBucket(rate float64) (*bucket, boottime.Instant) {
	now := boottime.Instant(time.Hour)
	b := newBucket(testBound)
	b.configure(1, rate, rate, now)
	return b, now.Add(10 * time.Second)
}

var oneHost = fleet{known: 1, alive: 1}

// TestSmallAccountRunsWholeProgram answers small accounts whose programs need more in a
// second than rate and burst of a second, but less than rate and burst of the window: a
// request refused in the middle fails the whole program.
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
// burst in some window, however it spreads its requests.
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

// TestSmallAccountBeginsNoMoreThanItCanEnd answers several programs of a small account at
// once: those that do not fit into the window with the ones under way must be refused at
// their start, and not in the middle.
func TestSmallAccountBeginsNoMoreThanItCanEnd(t *testing.T) {
	is := is.New(t)
	b, now := newSmallBucket(8)
	begun := 0
	for range 4 {
		if b.take(now, oneHost, Request{Start: true, Cost: 20, Urgent: true}, true) {
			begun++
		}
	}
	is.Equal(begun, 2) // of 48 in the window
	wait := b.wait(oneHost, Request{Start: true, Cost: 20}, true)
	is.True(wait > 0)
	is.True(wait <= testWindow+slotTime(testWindow))
}

// TestUnrunRequestIsGivenBack guards against accounts that are refused within their rate
// because requests count that were answered without reaching a replica, such as the
// turns of a program whose budget is spent.
func TestUnrunRequestIsGivenBack(t *testing.T) {
	is := is.New(t)
	b, now := newSmallBucket(8)
	for range 200 {
		r := Request{Start: true, Cost: 10}
		is.True(b.take(now, oneHost, r, true))
		b.giveBack(now, oneHost, r, true)
	}
}

// TestGivenBackRequestsAreHeard guards against hosts that count a request as used which
// the owner of the bucket took back.
func TestGivenBackRequestsAreHeard(t *testing.T) {
	is := is.New(t)
	b, now := newSmallBucket(8)
	b.refill(now, oneHost)
	b.heard("x", 1, peers.Usage{Admitted: 4, Committed: 40})
	before := b.level
	b.heard("x", 1, peers.Usage{Admitted: 3, Committed: 30})
	is.Equal(b.level, min(before+1, b.depth()))
}

// TestHeardBeforeConfigured guards against accounts that are refused for ever by a host
// which hears of their use before it has read their rate, as each restarted host does.
func TestHeardBeforeConfigured(t *testing.T) {
	is := is.New(t)
	l := NewLimiter(Bound{Window: 100 * time.Millisecond}, func() (int, int) { return 2, 2 })
	l.Heard("x", 1, map[uint32]peers.Usage{hashOf("a"): {Admitted: 1}})
	admitted := 0
	for range 100 { // far below the rate of every window
		time.Sleep(25 * time.Millisecond)
		if l.Take(TakeArgs{Account: "a", Version: 1, Rate: 50, Burst: 50}, true).Admitted {
			admitted++
		}
	}
	is.True(admitted >= 99) // the first may find the bucket of an unknown past empty
}
