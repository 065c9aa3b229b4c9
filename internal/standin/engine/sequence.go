package engine

import "time"

// sequence is the state of one call in the engine. It is guarded by the engine's
// mutex.
type sequence struct {
	id       string
	callID   string
	program  uint64
	fence    uint64
	model    string
	priority int
	// arrival orders calls of the same priority.
	arrival uint64
	chain   []link
	// promptTokens is the number of tokens of the chain.
	promptTokens int64
	// answerLink extends the chain by the answer. It is cached when the answer is
	// complete.
	answerLink link

	cachedTokens     int64
	prefillRemaining int64
	answer           []string
	finishReason     string
	created          time.Time

	// generated is the number of answer tokens that have been decoded.
	generated int
	state     state
	// progress is closed and replaced whenever generated, state or readerID changes.
	progress chan struct{}
	// readerID identifies the request that reads the answer. Resuming the stream
	// increments it.
	readerID int
	// expiryTimer cancels a call that has no reader. It is nil while a request reads
	// the answer.
	expiryTimer *time.Timer
}

// state is the lifecycle state of a sequence.
type state int

const (
	queued state = iota
	running
	finished
	cancelled
)

// ended reports whether the sequence is finished or cancelled.
func (s *sequence) ended() bool { return s.state == finished || s.state == cancelled }

// notify wakes the requests that wait for progress.
func (s *sequence) notify() {
	close(s.progress)
	s.progress = make(chan struct{})
}

// usage returns the token counts of the call so far.
func (s *sequence) usage() usage {
	return usage{
		PromptTokens:        s.promptTokens,
		CompletionTokens:    int64(s.generated),
		TotalTokens:         s.promptTokens + int64(s.generated),
		PromptTokensDetails: promptTokensDetails{CachedTokens: s.cachedTokens},
	}
}
