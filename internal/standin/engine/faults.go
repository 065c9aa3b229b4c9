package engine

// Faults are what the engine does wrong on purpose. POST /faults sets them as a
// JSON document of this form. They are taken when a call arrives.
type Faults struct {
	// Hang accepts a call and never answers it.
	Hang bool `json:"hang"`
	// DieAfterTokens breaks the connection after that many tokens and ends the call; 0
	// for never.
	DieAfterTokens int `json:"die_after_tokens"`
	// HangAfterTokens stops sending after that many tokens; 0 for never.
	HangAfterTokens int `json:"hang_after_tokens"`
	// SlowFactor multiplies the time of each step while it is set; 0 means 1. It
	// concerns all calls and does not count down.
	SlowFactor float64 `json:"slow_factor"`
	// FailStatus refuses a call with that status without running it; 0 for none.
	FailStatus int `json:"fail_status"`
	// ForeignCall answers under another X-Call-Id, as when answers are mixed up.
	ForeignCall bool `json:"foreign_call"`
	// Times is for how many of the next calls the faults apply; 0 means until they are
	// changed.
	Times int `json:"times"`
}
