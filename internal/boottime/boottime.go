// Package boottime reads CLOCK_BOOTTIME, the clock that keeps running while the system is
// suspended. Freshness checks and leases use it because Go's monotonic clock stops during a
// suspension, so that a resumed process would take stale state for current.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of CLOCK_BOOTTIME. The zero value is before every reading.
type Instant int64

// Now returns the current reading.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Since returns the time elapsed since i, including suspensions.
func Since(i Instant) time.Duration { return time.Duration(Now() - i) }

// Sub returns the duration i-j.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Add returns the instant i+d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
