package quota

import (
	"math"
	"time"

	"cowslipgw/internal/boottime"
)

// windowSlots is the number of slots into which the window is divided. The time at which a
// request leaves the window is accurate to one fiftieth of it.
const windowSlots = 50

// slidingWindow counts requests over a sliding window. It keeps one slot more than the
// window, so that the count never covers less than the window.
type slidingWindow struct {
	slots [windowSlots + 1]float64
	// last is the number of the newest slot, counted from the zero of the clock.
	last int64
	sum  float64
}

// slotTime returns the duration of one slot.
func slotTime(window time.Duration) time.Duration { return max(window/windowSlots, time.Millisecond) }

// advance drops the slots that have left the window.
func (l *slidingWindow) advance(now boottime.Instant, window time.Duration) {
	slot := int64(now) / int64(slotTime(window))
	for range min(slot-l.last, int64(len(l.slots))) {
		l.last++
		at := &l.slots[l.last%int64(len(l.slots))]
		l.sum -= *at
		*at = 0
	}
	l.last = max(l.last, slot)
}

// add counts n requests in the newest slot. A negative n is subtracted from the newest
// non-empty slots.
func (l *slidingWindow) add(n float64) {
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
		subtracted := min(*at, -n)
		*at -= subtracted
		l.sum -= subtracted
		n += subtracted
	}
}

// at returns the number of requests that are age slots old.
func (l *slidingWindow) at(age int64) float64 {
	if age > l.last {
		return 0
	}
	return l.slots[(l.last-age)%int64(len(l.slots))]
}

// addAt counts n requests that are age slots old.
func (l *slidingWindow) addAt(age int64, n float64) {
	if age > l.last || age >= int64(len(l.slots)) {
		return
	}
	l.slots[(l.last-age)%int64(len(l.slots))] += n
	l.sum += n
}

// byAge returns the number of requests in parts of slotsPerCount slots, the newest first.
func (l *slidingWindow) byAge() []uint32 {
	var sums [windowSlots/slotsPerCount + 1]float64
	for age := range int64(len(l.slots)) {
		sums[age/slotsPerCount] += l.at(age)
	}
	counts := make([]uint32, len(sums))
	for n, sum := range sums {
		counts[n] = uint32(math.Round(sum))
	}
	return counts
}

// addPast counts n requests that are as old as those of past, which byAge has returned. They are taken to be as
// recent as they may be, and without past to be new.
func (l *slidingWindow) addPast(n float64, past []uint32) {
	total := 0.0
	past = past[:min(len(past), windowSlots/slotsPerCount+1)]
	for _, count := range past {
		total += float64(count)
	}
	if total == 0 {
		l.add(n)
		return
	}
	for part, count := range past {
		l.addAt(int64(part*slotsPerCount), n*float64(count)/total)
	}
}

// merge counts the requests of another window, which has been advanced to the same moment.
func (l *slidingWindow) merge(other *slidingWindow) {
	for age := range int64(len(l.slots)) {
		l.addAt(age, other.at(age))
	}
}

// timeUntilBelow returns the time until the count is at most limit.
func (l *slidingWindow) timeUntilBelow(limit float64, window time.Duration) time.Duration {
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
