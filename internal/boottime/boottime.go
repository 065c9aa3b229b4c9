// Package boottime reads the clock that keeps running while the machine is
// suspended. Freshness and leases use it: Go's monotonic clock stops during a
// suspension, so a process that wakes up would take old knowledge for new.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of CLOCK_BOOTTIME. The zero value is before every reading.
type Instant int64

// Now returns the present reading.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Since returns the time from i to now, suspensions included.
func Since(i Instant) time.Duration { return time.Duration(Now() - i) }

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
