package placement

import "time"

// Move says how a program gets its KV cache at another replica.
type Move int

const (
	// Recompute means that the new replica computes the prompt again.
	Recompute Move = iota
	// Transfer means that the cache is exported and imported.
	Transfer
)

// transferGain is how many times faster than computing again a transfer must be. It
// loads two replicas and can break off, after which the prompt is computed all the same.
const transferGain = 1.25

// KVCosts are measured.
type KVCosts struct {
	// Export and Import are the times for one token; 0 if not known.
	Export, Import time.Duration
	// Setup is the time of a transfer that does not depend on the tokens.
	Setup time.Duration
	// PrefillRate is how many tokens a second the new replica computes; 0 if not known.
	PrefillRate float64
	// Backlog is how many tokens of prefill are queued at the new replica.
	Backlog int64
	// Window is how long the old replica still answers; 0 for no end.
	Window time.Duration
}

// MoveCost decides whether to move the cache of a program with a number of cached
// tokens, and returns the estimated time until the new replica has it. Without
// measured costs the prompt is computed again. An unknown prefill rate gives a time
// of 0.
func MoveCost(tokens int64, costs KVCosts) (Move, time.Duration) {
	if tokens <= 0 || costs.PrefillRate <= 0 {
		return Recompute, 0
	}
	compute := time.Duration(float64(tokens+max(0, costs.Backlog)) / costs.PrefillRate * float64(time.Second))
	if costs.Export <= 0 || costs.Import <= 0 {
		return Recompute, compute
	}
	export := costs.Setup + time.Duration(tokens)*costs.Export
	transfer := export + time.Duration(tokens)*costs.Import
	if costs.Window > 0 && export > costs.Window {
		return Recompute, compute
	}
	if float64(transfer)*transferGain > float64(compute) {
		return Recompute, compute
	}
	return Transfer, transfer
}
