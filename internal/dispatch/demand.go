package dispatch

import (
	"math"
	"time"

	"cowslipgw/internal/placement"
	"cowslipgw/internal/structs"
)

const (
	// rateTimeConstant is the time constant of the token rate's exponential decay.
	// It is longer than a typical pause for a tool call, so that a program's model
	// does not count as idle between the program's calls.
	rateTimeConstant = time.Minute
	// minActiveRate is the rate, in tokens per second, below which a model counts as
	// idle.
	minActiveRate = 0.1
)

// tokenRate is a sum of generated tokens that decays exponentially with
// rateTimeConstant.
type tokenRate struct {
	tokens float64
	at     time.Time
}

// decay advances the sum to now and returns the rate in tokens per second.
func (r *tokenRate) decay(now time.Time) float64 {
	r.tokens *= math.Exp(-now.Sub(r.at).Seconds() / rateTimeConstant.Seconds())
	r.at = now
	return r.tokens / rateTimeConstant.Seconds()
}

// countTokensLocked adds the completion tokens of an answer to the model's rate.
func (p *Pool) countTokensLocked(model string, tokens int) {
	if model == "" || tokens <= 0 {
		return
	}
	now := time.Now()
	rate := p.tokenRates[model]
	if rate == nil {
		rate = &tokenRate{at: now}
		p.tokenRates[model] = rate
	}
	rate.decay(now)
	rate.tokens += float64(tokens)
}

// Demand returns the demand by model. Models without demand are omitted.
func (p *Pool) Demand() map[string]placement.Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	demand := make(map[string]placement.Demand)
	for model, rate := range p.tokenRates {
		tokens := rate.decay(now)
		if tokens < minActiveRate {
			delete(p.tokenRates, model)
			continue
		}
		demand[model] = placement.Demand{TokensPerSecond: tokens}
	}
	for _, w := range p.waiters {
		d := demand[w.request.Model]
		d.Waiting++
		demand[w.request.Model] = d
	}
	for _, held := range p.slots {
		d := demand[held.model]
		d.Running++
		demand[held.model] = d
	}
	delete(demand, "")
	return demand
}

// Demand returns the demand of a pool by model, or nil if this host does not
// dispatch the pool.
func (s *Service) Demand(name structs.PoolName) map[string]placement.Demand {
	pool := s.pool(name)
	if pool == nil {
		return nil
	}
	return pool.Demand()
}
