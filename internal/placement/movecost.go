package placement

import "time"

// Move is the way in which a program's KV cache gets to another replica.
type Move int

const (
	// Recompute means that the new replica computes the prompt again.
	Recompute Move = iota
	// Transfer means that the cache is exported from the old replica and imported at
	// the new one.
	Transfer
)

// minTransferSpeedup is how many times faster than recomputation a transfer must be.
// A transfer puts load on two replicas, and if it fails the prompt has to be
// computed anyway.
const minTransferSpeedup = 1.25

// KVCosts holds the measured costs of moving a KV cache.
type KVCosts struct {
	// Export and Import are the times per token, or 0 if unknown.
	Export, Import time.Duration
	// Setup is the fixed part of the transfer time.
	Setup time.Duration
	// PrefillRate is the prefill rate of the new replica in tokens per second, or 0
	// if unknown.
	PrefillRate float64
	// Backlog is the number of prefill tokens queued at the new replica.
	Backlog int64
	// Window is how long the old replica remains available, or 0 if there is no
	// limit.
	Window time.Duration
}

// MoveCost decides how to move a program with the given number of cached tokens, and
// estimates the time until the new replica has the cache. Without measured transfer
// costs the prompt is recomputed. If the prefill rate is unknown, the estimate is 0.
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
	if float64(transfer)*minTransferSpeedup > float64(compute) {
		return Recompute, compute
	}
	return Transfer, transfer
}
