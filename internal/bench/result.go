package bench

// Result is the outcome of one run.
type Result struct {
	Deployment string `json:"deployment"`
	Scenario   string `json:"scenario"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`

	// Programs counts the measured programs. Failed ones gave up after refusals, and
	// Unfinished ones had not ended when the run did.
	Programs   int `json:"programs"`
	Failed     int `json:"failed"`
	Unfinished int `json:"unfinished"`

	// Latency is in seconds, Slowdown is relative to the program alone on an idle pool.
	Latency  Distribution `json:"latency_seconds"`
	Slowdown Distribution `json:"slowdown"`
	// FirstTokenP95 and InterTokenP95 are over calls, in milliseconds.
	FirstTokenP95 float64 `json:"first_token_p95_ms"`
	InterTokenP95 float64 `json:"inter_token_p95_ms"`

	// WastedCache is the share of prefill tokens that were computed again.
	WastedCache float64 `json:"wasted_cache"`

	Accounts []AccountResult `json:"accounts"`
	// WorstSlowdown is the largest p95 slowdown over accounts, and LeastServed the least
	// of served over entitled. In a paired scenario they leave out the loud account.
	WorstSlowdown float64 `json:"worst_account_slowdown_p95"`
	LeastServed   float64 `json:"least_served_over_entitled"`
	// WorstRatio is the largest p95 slowdown relative to the same account's when the loud
	// account is absent; 0 in a scenario that is not paired.
	WorstRatio float64 `json:"worst_account_ratio"`

	Requests      int `json:"requests"`
	Refused       int `json:"refused"`
	WrongRefusals int `json:"wrong_refusals"`
	// Cut counts requests whose entry host died or stopped under them.
	Cut int `json:"cut"`
	// Load is the work served in the measured time as a share of the pool's capacity.
	Load float64 `json:"load"`
	// Busy is the share of time in which replicas ran a batch.
	Busy float64 `json:"busy"`
}

// Distribution summarizes values.
type Distribution struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P95  float64 `json:"p95"`
	P99  float64 `json:"p99"`
}

// AccountResult is the part of one client account.
type AccountResult struct {
	Name               string  `json:"name"`
	Programs           int     `json:"programs"`
	SlowdownP95        float64 `json:"slowdown_p95"`
	ServedOverEntitled float64 `json:"served_over_entitled"`
	// Ratio is SlowdownP95 relative to the run without the loud account; 0 if there is
	// none.
	Ratio float64 `json:"ratio,omitempty"`
}
