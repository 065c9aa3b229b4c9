package engine

import "time"

// sequence is one call in the engine. The engine's lock guards it.
type sequence struct {
	id       string
	call     string
	program  uint64
	fence    uint64
	model    string
	priority int
	// arrival orders calls of the same priority.
	arrival uint64
	chain   []link
	// prompt is the number of tokens of the chain.
	prompt int64
	// last is the hash link of the answer, which is stored when it is complete.
	last link

	cached      int64
	prefillLeft int64
	answer      []string
	finish      string
	created     time.Time

	// sent is how many tokens are decoded.
	sent  int
	state state
	// progress is closed and replaced at each change.
	progress chan struct{}
	// reader numbers the request that reads the answer; a resumed stream replaces it.
	reader int
	// expiry ends a call that nobody reads; nil while somebody does.
	expiry *time.Timer
}

// state of a sequence.
type state int

const (
	queued state = iota
	running
	finished
	cancelled
)

// ended reports whether no more tokens come.
func (s *sequence) ended() bool { return s.state == finished || s.state == cancelled }

// notify wakes the reader.
func (s *sequence) notify() {
	close(s.progress)
	s.progress = make(chan struct{})
}

// usage counts the tokens of the call so far.
func (s *sequence) usage() usage {
	return usage{
		PromptTokens:        s.prompt,
		CompletionTokens:    int64(s.sent),
		TotalTokens:         s.prompt + int64(s.sent),
		PromptTokensDetails: promptDetails{CachedTokens: s.cached},
	}
}
