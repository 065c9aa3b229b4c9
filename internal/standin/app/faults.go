package app

// Faults selects the faults that the service injects. POST /_faults sets them
// with a JSON document of this form. They apply to requests, not to the load
// report.
type Faults struct {
	// HangBeforeRun blocks a request until its client disconnects, without ever
	// executing it.
	HangBeforeRun bool `json:"hang_before_run"`
	// DropAfterRun executes a request and then closes the connection without a
	// response.
	DropAfterRun bool `json:"drop_after_run"`
	// SlowMillis delays a request by that many milliseconds before it is executed.
	SlowMillis int `json:"slow_ms"`
	// FailStatus is the status returned instead of executing the request; 0 disables
	// the fault.
	FailStatus int `json:"fail_status"`
	// FailAfterRun executes the request before FailStatus is returned.
	FailAfterRun bool `json:"fail_after_run"`
	// ForeignCall responds with the X-Call-Id of a different call, as if responses
	// had been mixed up.
	ForeignCall bool `json:"foreign_call"`
	// Times is the number of requests to which the faults apply; 0 means all requests
	// until the faults are replaced.
	Times int `json:"times"`
}
