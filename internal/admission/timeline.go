package admission

import (
	"time"

	"cowslipgw/internal/boottime"
)

const (
	// slice is the time resolution of a timeline.
	slice = 50 * time.Millisecond
	// horizonSlices is the number of slices that a timeline covers.
	horizonSlices = 256
)

// timeline holds the slots that are in use in each slice from now on.
type timeline struct {
	slots [horizonSlices]float64
	// first is the number of the earliest slice, counted from the zero of the clock.
	first int64
}

// sliceOf returns the number of the slice that contains t.
func sliceOf(t boottime.Instant) int64 { return int64(t) / int64(slice) }

// slicesIn returns the number of slices that d lasts, at least one and at most the horizon.
func slicesIn(d time.Duration) int64 {
	return min(max(int64((d+slice-1)/slice), 1), horizonSlices)
}

// advance drops the slices before now.
func (t *timeline) advance(now boottime.Instant) {
	current := sliceOf(now)
	for range min(current-t.first, horizonSlices) {
		t.slots[t.first%horizonSlices] = 0
		t.first++
	}
	t.first = max(t.first, current)
}

// at returns the slots in use in a slice; 0 outside of the horizon.
func (t *timeline) at(n int64) float64 {
	if n < t.first || n >= t.first+horizonSlices {
		return 0
	}
	return t.slots[n%horizonSlices]
}

// add adds slots to the slices from first up to, and without, end.
func (t *timeline) add(first, end int64, slots float64) {
	for n := max(first, t.first); n < min(end, t.first+horizonSlices); n++ {
		t.slots[n%horizonSlices] = max(t.slots[n%horizonSlices]+slots, 0)
	}
}
