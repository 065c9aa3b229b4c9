package engine

// Faults selects the faults that the engine injects. POST /faults sets them with a
// JSON document of this form. A call gets the faults that are set when it arrives.
type Faults struct {
	// Hang accepts a call and never responds.
	Hang bool `json:"hang"`
	// DieAfterTokens closes the connection after that many tokens and cancels the
	// call; 0 disables the fault.
	DieAfterTokens int `json:"die_after_tokens"`
	// HangAfterTokens stops sending after that many tokens; 0 disables the fault.
	HangAfterTokens int `json:"hang_after_tokens"`
	// SlowFactor multiplies the duration of each step while it is set; 0 means 1. It
	// affects all calls and is not limited by Times.
	SlowFactor float64 `json:"slow_factor"`
	// FailStatus rejects a call with that status without running it; 0 disables the
	// fault.
	FailStatus int `json:"fail_status"`
	// ForeignCall responds with the X-Call-Id of a different call, as if responses
	// had been mixed up.
	ForeignCall bool `json:"foreign_call"`
	// Times is the number of calls to which the faults apply; 0 means all calls until
	// the faults are replaced.
	Times int `json:"times"`
}
