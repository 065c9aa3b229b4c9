package admission

import "cowslipgw/internal/boottime"

// recentCount counts what happened within the last reportLag.
type recentCount struct {
	times []boottime.Instant
}

func (c *recentCount) add(now boottime.Instant) { c.times = append(c.times, now) }

func (c *recentCount) advance(now boottime.Instant) {
	n := 0
	for n < len(c.times) && now.Sub(c.times[n]) > reportLag {
		n++
	}
	c.times = c.times[n:]
}

func (c *recentCount) count() int { return len(c.times) }
