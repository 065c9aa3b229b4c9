package bench

// Result holds the measures of one run.
type Result struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`

	// Programs counts the measured programs. Failed programs were abandoned after
	// refusals, and Unfinished ones had not ended when the run did.
	Programs   int `json:"programs"`
	Failed     int `json:"failed"`
	Unfinished int `json:"unfinished"`

	// Latency is in seconds. Slowdown is the latency relative to the same program
	// alone on an idle pool.
	Latency  Distribution `json:"latency_seconds"`
	Slowdown Distribution `json:"slowdown"`
	// FirstTokenP95 and InterTokenP95 are over all calls, in milliseconds.
	FirstTokenP95 float64 `json:"first_token_p95_ms"`
	InterTokenP95 float64 `json:"inter_token_p95_ms"`

	// WastedCache is the fraction of prefill tokens that some replica had already
	// computed.
	WastedCache float64 `json:"wasted_cache"`

	Accounts []AccountResult `json:"accounts"`
	// WorstSlowdown is the largest p95 slowdown of any account, and LeastServed the
	// smallest ratio of served to entitled work. Paired scenarios exclude the noisy
	// account.
	WorstSlowdown float64 `json:"worst_account_slowdown_p95"`
	LeastServed   float64 `json:"least_served_over_entitled"`
	// WorstRatio is the largest ratio, over accounts, of the p95 slowdown to that of
	// the run without the noisy account; 0 in a scenario that is not paired.
	WorstRatio float64 `json:"worst_account_ratio"`

	Requests      int `json:"requests"`
	Refused       int `json:"refused"`
	WrongRefusals int `json:"wrong_refusals"`
	// Interrupted counts requests that were aborted because their entry host died or
	// stopped.
	Interrupted int `json:"cut"`
	// Load is the work served in the measurement window as a fraction of the pool's
	// capacity.
	Load float64 `json:"load"`
	// Utilization is the fraction of the run in which replicas executed a batch.
	Utilization float64 `json:"busy"`
}

// Distribution summarizes a set of values by their mean and quantiles.
type Distribution struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P95  float64 `json:"p95"`
	P99  float64 `json:"p99"`
}

// AccountResult holds the measures of one client account.
type AccountResult struct {
	Name               string  `json:"name"`
	Programs           int     `json:"programs"`
	SlowdownP95        float64 `json:"slowdown_p95"`
	ServedOverEntitled float64 `json:"served_over_entitled"`
	// Ratio is SlowdownP95 relative to the run without the noisy account; 0 if there
	// is no such run.
	Ratio float64 `json:"ratio,omitempty"`
}
