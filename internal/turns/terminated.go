package turns

import (
	"sync"
	"time"
)

// settlementGrace is how long after the end of an owner the hosts that serve the turns it
// granted may still settle them: the time limit of a route, and a margin.
const settlementGrace = 5 * time.Second

// terminatedOwners records when owners were first found to have terminated. It is safe for
// concurrent use.
type terminatedOwners struct {
	mu    sync.Mutex
	since map[int64]time.Time
}

// settled reports whether an owner terminated so long ago that the hosts that served its
// turns have settled them, if they still run. The first call for a writer starts the
// period.
func (g *terminatedOwners) settled(writer int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.since == nil {
		g.since = make(map[int64]time.Time)
	}
	first, known := g.since[writer]
	if !known {
		g.since[writer] = time.Now()
		return false
	}
	return time.Since(first) >= settlementGrace
}
