package placement

import "time"

// Settings configures the planning of a Runner.
type Settings struct {
	// WeightRate is the total rate at which the weight store sends to the fleet, in
	// bytes per second. If it is 0, nothing is planned.
	WeightRate int64
	// ModelBytes is the size of models that are not in Sizes.
	ModelBytes int64
	// Sizes holds the sizes of models, in bytes, by full name. It may be nil.
	Sizes map[string]int64
	// ModelsPerReplica is the number of models that an engine can hold at once;
	// values of 0 or less count as 1. A replica that reports more models can hold
	// that many. A full engine drops models to load a new one.
	ModelsPerReplica int
}

// size returns the size of a model in bytes.
func (s Settings) size(model string) int64 {
	if size := s.Sizes[model]; size > 0 {
		return size
	}
	return max(1, s.ModelBytes)
}

// loadTime estimates the duration of a load at a rate in bytes per second.
func loadTime(size, rate int64) time.Duration {
	return time.Duration(float64(size) / float64(max(1, rate)) * float64(time.Second))
}
