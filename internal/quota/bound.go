package quota

import "time"

// Bound limits what a client account may get from all hosts together: in any window, rate x
// window + burst requests. Excess of that and Slack requests are the tolerance for usage
// that hosts have not yet learned from each other; no account is entitled to it.
type Bound struct {
	Window time.Duration
	// Excess is the tolerance as a fraction of the requests of a window.
	Excess float64
	// Slack is the tolerance as a number of requests.
	Slack float64
}
