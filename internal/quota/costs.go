package quota

import "sync"

const (
	// costMemory is the number of requests over which averages are taken.
	costMemory = 2000
	// A program counts as priorTurns turns of priorRequests requests until some were seen.
	priorTurns    = 4
	priorRequests = 3
	// priorWeight is the number of programs that the prior stands for.
	priorWeight = 4
)

// Costs estimates how many requests a program needs, by the route of its turns. A host
// sees an even sample of the requests of all programs, so ratios hold although no host
// sees a whole program. Its methods are safe for concurrent use.
type Costs struct {
	mu sync.Mutex
	// turns and requests are of all programs; routes holds what is known by route.
	turns, requests float64
	routes          map[string]*routeCost
}

// routeCost counts admitted programs and turns of one route.
type routeCost struct{ starts, turns float64 }

// NewCosts returns an estimate that has seen nothing.
func NewCosts() *Costs {
	return &Costs{turns: priorTurns * priorWeight, requests: priorTurns * priorRequests * priorWeight,
		routes: make(map[string]*routeCost)}
}

func (c *Costs) routeLocked(route string) *routeCost {
	r := c.routes[route]
	if r == nil {
		r = &routeCost{starts: priorWeight, turns: priorTurns * priorWeight}
		c.routes[route] = r
	}
	return r
}

// Request enters an admitted request of a program that is no turn.
func (c *Costs) Request() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
}

// Turn enters an admitted turn; start says that it is the first of its program.
func (c *Costs) Turn(route string, start bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	c.turns++
	r := c.routeLocked(route)
	r.turns++
	if start {
		r.starts++
	}
	if c.requests > costMemory {
		c.requests /= 2
		c.turns /= 2
		for _, r := range c.routes {
			r.turns /= 2
			r.starts /= 2
		}
	}
}

// Of returns the number of requests that a program on route is expected to need.
func (c *Costs) Of(route string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.routeLocked(route)
	return max(r.turns/max(r.starts, 1)*c.requests/max(c.turns, 1), 1)
}
