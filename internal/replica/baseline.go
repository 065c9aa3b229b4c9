package replica

import "time"

// baselineWeight is the weight of a new sample in a baseline's moving average.
const baselineWeight = 0.02

// baseline is the moving average of the latency of a request class over all replicas.
type baseline struct{ mean float64 }

// observe adds a sample and returns it as a multiple of the mean before it.
func (u *baseline) observe(d time.Duration) float64 {
	if u.mean == 0 {
		u.mean = float64(d)
		return 1
	}
	relative := u.relative(d)
	u.mean += baselineWeight * (min(float64(d), 4*u.mean) - u.mean)
	return relative
}

// relative returns d as a multiple of the mean, or 1 before the first sample.
func (u *baseline) relative(d time.Duration) float64 {
	if u.mean == 0 {
		return 1
	}
	return float64(d) / u.mean
}
