package placement

import "time"

// Settings of a Runner.
type Settings struct {
	// WeightRate is what the weight store sends in bytes a second to the whole fleet; 0
	// plans nothing.
	WeightRate int64
	// ModelBytes is the size of a model that Sizes does not name.
	ModelBytes int64
	// Sizes holds the bytes of models by full name; nil for none.
	Sizes map[string]int64
	// ModelsPerReplica is how many models an engine holds at once; up to 0 counts as 1.
	// A replica that reports more holds more. An engine that is full drops models for a
	// new one.
	ModelsPerReplica int
}

// size returns the bytes of a model.
func (s Settings) size(model string) int64 {
	if size := s.Sizes[model]; size > 0 {
		return size
	}
	return max(1, s.ModelBytes)
}

// loadTime estimates how long a load takes at a rate in bytes a second.
func loadTime(size, rate int64) time.Duration {
	return time.Duration(float64(size) / float64(max(1, rate)) * float64(time.Second))
}
