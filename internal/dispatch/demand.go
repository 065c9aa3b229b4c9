package dispatch

import (
	"math"
	"time"

	"cowslipgw/internal/placement"
	"cowslipgw/internal/structs"
)

const (
	// rateTime is the time over which generated tokens are averaged. It is longer than a
	// tool pause, so that a program's model is not taken for idle between its calls.
	rateTime = time.Minute
	// minRate is the rate in tokens a second below which a model counts as idle.
	minRate = 0.1
)

// tokenRate is a moving sum of generated tokens that decays over rateTime.
type tokenRate struct {
	tokens float64
	at     time.Time
}

// decay brings the sum to a time and returns the rate in tokens a second.
func (r *tokenRate) decay(now time.Time) float64 {
	r.tokens *= math.Exp(-now.Sub(r.at).Seconds() / rateTime.Seconds())
	r.at = now
	return r.tokens / rateTime.Seconds()
}

// countTokensLocked adds the tokens of an answer.
func (p *Pool) countTokensLocked(model string, tokens int) {
	if model == "" || tokens <= 0 {
		return
	}
	now := time.Now()
	rate := p.rates[model]
	if rate == nil {
		rate = &tokenRate{at: now}
		p.rates[model] = rate
	}
	rate.decay(now)
	rate.tokens += float64(tokens)
}

// Demand returns the demand by model. Models without any are absent.
func (p *Pool) Demand() map[string]placement.Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	demand := make(map[string]placement.Demand)
	for model, rate := range p.rates {
		tokens := rate.decay(now)
		if tokens < minRate {
			delete(p.rates, model)
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

// Demand returns the demand of a pool by model; nil when this host does not dispatch
// the pool.
func (s *Service) Demand(name structs.PoolName) map[string]placement.Demand {
	pool := s.pool(name)
	if pool == nil {
		return nil
	}
	return pool.Demand()
}
