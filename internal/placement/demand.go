package placement

// tokensPerSlot is the number of tokens per second that one slot generates at the
// inter-token target of 61 ms. A slot that generates fewer misses the target.
const tokensPerSlot = 1000.0 / 61

// Demand is the current demand for one model.
type Demand struct {
	// Waiting and Running are the numbers of calls at the dispatcher.
	Waiting, Running int
	// TokensPerSecond is the recent rate of generated tokens.
	TokensPerSecond float64
}

// requiredSlots converts the demand to slots. The token rate matters for calls that
// are so short that only a few are in flight at any moment.
func (d Demand) requiredSlots() float64 {
	return max(float64(d.Waiting+d.Running), d.TokensPerSecond/tokensPerSlot)
}
