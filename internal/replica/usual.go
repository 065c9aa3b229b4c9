package replica

import "time"

// usualGain is the weight of a new sample in the usual time of a class.
const usualGain = 0.02

// usual is the average time of a class of requests over all replicas.
type usual struct{ mean float64 }

// ratio enters a sample and returns it as a multiple of the average.
func (u *usual) ratio(d time.Duration) float64 {
	if u.mean == 0 {
		u.mean = float64(d)
		return 1
	}
	multiple := u.multiple(d)
	u.mean += usualGain * (min(float64(d), 4*u.mean) - u.mean)
	return multiple
}

// multiple returns d as a multiple of the average.
func (u *usual) multiple(d time.Duration) float64 {
	if u.mean == 0 {
		return 1
	}
	return float64(d) / u.mean
}
