package quota

import "sync"

const (
	// maxSampledRequests is the number of requests at which all counts are halved, so that
	// the averages follow recent requests.
	maxSampledRequests = 2000
	// A program is assumed to have priorTurns turns of priorRequests requests until some
	// are observed.
	priorTurns    = 4
	priorRequests = 3
	// priorWeight is the weight of this prior, as a number of programs.
	priorWeight = 4
)

// CostEstimator estimates how many requests a program needs, by the route of its turns. A
// host sees an even sample of the requests of all programs, so ratios are accurate although
// no host sees a whole program. Its methods are safe for concurrent use.
type CostEstimator struct {
	mu sync.Mutex
	// turns and requests count those of all programs; routes holds the counts by route.
	turns, requests float64
	routes          map[string]*routeCost
}

// routeCost counts admitted programs and turns of one route.
type routeCost struct{ starts, turns float64 }

// NewCostEstimator returns an estimator without observations.
func NewCostEstimator() *CostEstimator {
	return &CostEstimator{turns: priorTurns * priorWeight, requests: priorTurns * priorRequests * priorWeight,
		routes: make(map[string]*routeCost)}
}

func (c *CostEstimator) routeLocked(route string) *routeCost {
	r := c.routes[route]
	if r == nil {
		r = &routeCost{starts: priorWeight, turns: priorTurns * priorWeight}
		c.routes[route] = r
	}
	return r
}

// RecordRequest records an admitted request of a program that is not a turn.
func (c *CostEstimator) RecordRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
}

// RecordTurn records an admitted turn. Start is set for the first turn of a program.
func (c *CostEstimator) RecordTurn(route string, start bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.turns++
	r := c.routeLocked(route)
	r.turns++
	if start {
		r.starts++
	}
	if c.requests > maxSampledRequests {
		c.requests /= 2
		c.turns /= 2
		for _, r := range c.routes {
			r.turns /= 2
			r.starts /= 2
		}
	}
}

// Estimate returns the expected number of requests of a program on route.
func (c *CostEstimator) Estimate(route string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.routeLocked(route)
	return max(r.turns/max(r.starts, 1)*c.requests/max(c.turns, 1), 1)
}
