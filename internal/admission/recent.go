package admission

import (
	"slices"

	"cowslipgw/internal/boottime"
)

// recentTimes holds the times of what happened within the last maxReportAge, in their order.
type recentTimes struct{ times []boottime.Instant }

func (r *recentTimes) add(now boottime.Instant) { r.times = append(r.times, now) }

// advance drops the times that are too old.
func (r *recentTimes) advance(now boottime.Instant) {
	n, _ := slices.BinarySearch(r.times, now.Add(-maxReportAge))
	r.times = r.times[n:]
}

// since returns the number of times after t.
func (r *recentTimes) since(t boottime.Instant) int {
	n, _ := slices.BinarySearch(r.times, t+1)
	return len(r.times) - n
}
