package replica

import (
	"math"
	"time"
)

const (
	// sizeWeight is the weight of a new request in the moving average of sizes.
	sizeWeight = 0.02
	// raiseStep and lowerStep are the changes of the threshold after a request, as multiples of
	// the mean size. Their ratio is that of the requests above the threshold that are not
	// accepted to those that are: few, and yet enough that nothing accepted stays unused.
	raiseStep = 0.05
	lowerStep = 0.0125
	// maxThreshold is the maximum threshold as a multiple of the mean size.
	maxThreshold = 4
	// thresholdHalfLife is the decay time of the threshold, so that it falls when no request
	// reaches it.
	thresholdHalfLife = 5 * time.Second
)

// sizes describes the sizes of a service's requests. Replicas with a rate limit count requests,
// whatever work they cause. While they accept fewer than there are, they get those above a
// threshold, which take the most work off the other replicas.
type sizes struct {
	mean float64
	// threshold is the smallest size for replicas with a rate limit, as a multiple of the
	// mean, at the time thresholdAt.
	threshold   float64
	thresholdAt time.Time
}

// observe adds a request; 0 stands for an unknown size.
func (z *sizes) observe(size int) {
	switch {
	case size <= 0:
	case z.mean == 0:
		z.mean = float64(size)
	default:
		z.mean += sizeWeight * (float64(size) - z.mean)
	}
}

// isTooSmall reports whether a request is below the threshold. One of unknown size is not.
func (z *sizes) isTooSmall(size int, now time.Time) bool {
	return size > 0 && float64(size) < z.currentThreshold(now)*z.mean
}

// currentThreshold returns the threshold, decayed since the last change.
func (z *sizes) currentThreshold(now time.Time) float64 {
	return z.threshold * math.Exp2(-float64(now.Sub(z.thresholdAt))/float64(thresholdHalfLife))
}

// raise raises the threshold after a request above it for which no replica with a rate limit
// accepts a request.
func (z *sizes) raise(now time.Time) { z.setThreshold(z.currentThreshold(now)+raiseStep, now) }

// lower lowers the threshold after a replica with a rate limit accepted a request above it.
func (z *sizes) lower(now time.Time) { z.setThreshold(z.currentThreshold(now)-lowerStep, now) }

func (z *sizes) setThreshold(threshold float64, now time.Time) {
	z.threshold, z.thresholdAt = min(max(threshold, 0), maxThreshold), now
}

// sizesLocked returns the sizes of a service's requests.
func (s *Set) sizesLocked(service string) *sizes {
	z := s.sizes[service]
	if z == nil {
		z = &sizes{}
		s.sizes[service] = z
	}
	return z
}
