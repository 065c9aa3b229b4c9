package bench

import "time"

// EngineSettings describe an emulated engine. A batch step takes StepBase, plus
// StepPerSequence and StepPerContext for each generated token, plus
// PrefillPerToken for each prompt token computed in the step.
type EngineSettings struct {
	// Slots is the largest batch.
	Slots int
	// Chunk is the most prompt tokens computed in one step.
	Chunk int64
	// CacheTokens is the memory for running calls and for the prefix cache.
	CacheTokens int64

	StepBase        time.Duration
	StepPerSequence time.Duration
	StepPerContext  time.Duration
	PrefillPerToken time.Duration
}

// defaultEngine has the orders of magnitude of a model with 8 billion parameters
// on one accelerator of 80 GB: 16,000 prompt tokens a second, 25 to 60 ms between
// tokens in a full batch, and 50 GB of cache at 128 KB a token.
func defaultEngine() EngineSettings {
	return EngineSettings{
		Slots:           16,
		Chunk:           512,
		CacheTokens:     400_000,
		StepBase:        12 * time.Millisecond,
		StepPerSequence: time.Millisecond,
		StepPerContext:  60 * time.Nanosecond,
		PrefillPerToken: 60 * time.Microsecond,
	}
}

// work is the time that a call takes of an engine whose batch is full, when uncached
// prompt tokens have to be computed.
func (s EngineSettings) work(uncached, prompt, output int64) time.Duration {
	perToken := s.StepBase/time.Duration(s.Slots) + s.StepPerSequence
	context := time.Duration(prompt+output/2) * s.StepPerContext
	return time.Duration(uncached)*s.PrefillPerToken + time.Duration(output)*(perToken+context)
}

// alone is the time to the first token and to the last one of a call that has the
// engine for itself.
func (s EngineSettings) alone(uncached, prompt, output int64) (first, total time.Duration) {
	uncached = max(1, uncached)
	steps := (uncached + s.Chunk - 1) / s.Chunk
	first = time.Duration(steps)*s.StepBase + time.Duration(uncached)*s.PrefillPerToken
	total = first
	for generated := int64(1); generated < output; generated++ {
		total += s.StepBase + s.StepPerSequence + time.Duration(prompt+generated)*s.StepPerContext
	}
	return first, total
}
