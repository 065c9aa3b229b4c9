package replica

import "time"

const (
	// defaultReading is the time that an engine needs to read a token of the prompt before any
	// has been measured: they read 80 to 150 in a millisecond.
	defaultReading = 10 * time.Microsecond
	// minReading and maxReading limit what is learned, since waits that depend on the size of
	// prompts look like reading.
	minReading = 3 * time.Microsecond
	maxReading = 40 * time.Microsecond
	// readingWeight is the weight of a new sample.
	readingWeight = 0.02
	// minReadingSamples is the number of samples before which the default counts.
	minReadingSamples = 50
)

// readingTime is the time that engines need to read a token of a prompt: the slope of the wait for
// the first byte over the tokens to be read. Waits for a slot do not change it, since they do not
// depend on the tokens.
type readingTime struct {
	count                         int
	tokens, wait, square, product float64
}

// observe adds a request that waited for its first byte while tokens were read.
func (t *readingTime) observe(tokens int, wait time.Duration) {
	weight := readingWeight
	if t.count++; t.count <= minReadingSamples {
		weight = 1 / float64(t.count)
	}
	x, y := float64(tokens), float64(wait)
	t.tokens += weight * (x - t.tokens)
	t.wait += weight * (y - t.wait)
	t.square += weight * (x*x - t.square)
	t.product += weight * (x*y - t.product)
}

// perToken returns the expected time to read a token.
func (t *readingTime) perToken() time.Duration {
	if variance := t.square - t.tokens*t.tokens; t.count >= minReadingSamples && variance > 0 {
		slope := time.Duration((t.product - t.tokens*t.wait) / variance)
		return min(max(slope, minReading), maxReading)
	}
	return defaultReading
}
