package app

// Faults are what the service does wrong on purpose. POST /_faults sets them as a
// JSON document of this form. They concern requests only, not the load report.
type Faults struct {
	// HangBeforeRun holds a request until its client leaves; it never runs.
	HangBeforeRun bool `json:"hang_before_run"`
	// DropAfterRun runs a request and then breaks the connection without an answer.
	DropAfterRun bool `json:"drop_after_run"`
	// SlowMillis delays a request before it runs.
	SlowMillis int `json:"slow_ms"`
	// FailStatus is the status that a request gets instead of being run; 0 for none.
	FailStatus int `json:"fail_status"`
	// FailAfterRun makes a failing request run before it gets FailStatus.
	FailAfterRun bool `json:"fail_after_run"`
	// ForeignCall answers under another X-Call-Id, as when answers are mixed up.
	ForeignCall bool `json:"foreign_call"`
	// Times is for how many of the next requests the faults apply; 0 means until they
	// are changed.
	Times int `json:"times"`
}
