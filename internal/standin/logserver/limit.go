package logserver

import "time"

// limit allows a number of appends a second, with a burst of as many as fit into
// 100 ms.
type limit struct {
	rate, tokens float64
	updated      time.Time
}

// burstSeconds is the time whose appends may come at once.
const burstSeconds = 0.1

func newLimit(rate float64, now time.Time) limit {
	return limit{rate: rate, tokens: max(1, rate*burstSeconds), updated: now}
}

// take reports whether one more append is allowed now.
func (l *limit) take(now time.Time) bool {
	l.tokens = min(max(1, l.rate*burstSeconds), l.tokens+now.Sub(l.updated).Seconds()*l.rate)
	l.updated = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}
