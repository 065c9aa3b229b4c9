package placement

// slotTokens is how many tokens a second one slot generates at the inter-token goal
// of 61 ms. A slot that generates fewer misses the goal.
const slotTokens = 1000.0 / 61

// Demand is what callers want of one model.
type Demand struct {
	// Waiting and Running count calls at the dispatcher.
	Waiting, Running int
	// TokensPerSecond is the recent rate of generated tokens.
	TokensPerSecond float64
}

// work is the demand in slots. The rate counts where calls are so short that few are
// seen at one moment.
func (d Demand) work() float64 {
	return max(float64(d.Waiting+d.Running), d.TokensPerSecond/slotTokens)
}
