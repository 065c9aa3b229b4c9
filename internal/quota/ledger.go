package quota

import (
	"time"

	"cowslipgw/internal/boottime"
)

// ledgerSlots is the number of parts of the window that are counted by themselves. What
// leaves the window is known to a fiftieth of it.
const ledgerSlots = 50

// ledger counts requests over a sliding window. One slot more than the window is kept,
// so that the count is never of less than the window.
type ledger struct {
	slots [ledgerSlots + 1]float64
	// last is the number of the newest slot since the start of the clock.
	last int64
	sum  float64
}

// slotTime is the length of one slot.
func slotTime(window time.Duration) time.Duration { return max(window/ledgerSlots, time.Millisecond) }

// advance drops the slots that have left the window.
func (l *ledger) advance(now boottime.Instant, window time.Duration) {
	slot := int64(now) / int64(slotTime(window))
	for range min(slot-l.last, int64(len(l.slots))) {
		l.last++
		at := &l.slots[l.last%int64(len(l.slots))]
		l.sum -= *at
		*at = 0
	}
	l.last = max(l.last, slot)
}

// add counts n requests in the newest slot. A negative n takes requests off the newest
// slots that hold any.
func (l *ledger) add(n float64) {
	if n >= 0 {
		l.slots[l.last%int64(len(l.slots))] += n
		l.sum += n
		return
	}
	for back := range int64(len(l.slots)) {
		if n == 0 || back > l.last {
			return
		}
		at := &l.slots[(l.last-back)%int64(len(l.slots))]
		taken := min(*at, -n)
		*at -= taken
		l.sum -= taken
		n += taken
	}
}

// room returns the time until no more than limit is counted.
func (l *ledger) room(limit float64, window time.Duration) time.Duration {
	sum := l.sum
	for age := int64(len(l.slots)) - 1; age >= 0 && sum > limit; age-- {
		if l.last-age < 0 {
			continue
		}
		sum -= l.slots[(l.last-age)%int64(len(l.slots))]
		if sum <= limit {
			return time.Duration(int64(len(l.slots))-age) * slotTime(window)
		}
	}
	if sum > limit {
		return window
	}
	return 0
}
