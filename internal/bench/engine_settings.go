package bench

import "time"

// EngineSettings describes an emulated engine. A batch step takes StepBase, plus
// StepPerSequence and the context length times StepPerContextToken for each generated
// token, plus PrefillPerToken for each prompt token computed in the step.
type EngineSettings struct {
	// Slots is the maximum batch size.
	Slots int
	// PrefillChunk is the maximum number of prompt tokens computed in one step.
	PrefillChunk int64
	// CacheTokens is the memory shared by running calls and the prefix cache, in
	// tokens.
	CacheTokens int64

	StepBase            time.Duration
	StepPerSequence     time.Duration
	StepPerContextToken time.Duration
	PrefillPerToken     time.Duration
}

// defaultEngine has the orders of magnitude of a model with 8 billion parameters on
// one accelerator with 80 GB: 16,000 prompt tokens a second, 25 to 60 ms between
// tokens in a full batch, and 50 GB of cache at 128 KB a token.
func defaultEngine() EngineSettings {
	return EngineSettings{
		Slots:               16,
		PrefillChunk:        512,
		CacheTokens:         400_000,
		StepBase:            12 * time.Millisecond,
		StepPerSequence:     time.Millisecond,
		StepPerContextToken: 60 * time.Nanosecond,
		PrefillPerToken:     60 * time.Microsecond,
	}
}

// serviceTime returns the engine time that a call occupies in a full batch, given the
// number of prompt tokens that have to be computed because they are not cached.
func (s EngineSettings) serviceTime(uncached, prompt, output int64) time.Duration {
	perToken := s.StepBase/time.Duration(s.Slots) + s.StepPerSequence
	context := time.Duration(prompt+output/2) * s.StepPerContextToken
	return time.Duration(uncached)*s.PrefillPerToken + time.Duration(output)*(perToken+context)
}

// idleLatency returns the time to the first and to the last token of a call that is
// alone on the engine.
func (s EngineSettings) idleLatency(uncached, prompt, output int64) (first, total time.Duration) {
	uncached = max(1, uncached)
	steps := (uncached + s.PrefillChunk - 1) / s.PrefillChunk
	first = time.Duration(steps)*s.StepBase + time.Duration(uncached)*s.PrefillPerToken
	total = first
	for generated := int64(1); generated < output; generated++ {
		total += s.StepBase + s.StepPerSequence + time.Duration(prompt+generated)*s.StepPerContextToken
	}
	return first, total
}
