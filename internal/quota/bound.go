package quota

import "time"

// Bound is what a client account may get of all hosts together: in any window, rate x
// window + burst requests. Excess of that and Slack requests are the tolerance for what
// hosts do not know of each other; no account is promised it.
type Bound struct {
	Window time.Duration
	// Excess is a share of the requests of a window.
	Excess float64
	// Slack is a number of requests.
	Slack float64
}
