package turns

import (
	"sync"
	"time"
)

// settleLimit is how long after the end of a home the turns that it granted may still be
// settled by the hosts that serve them: a time limit of a route, and a margin.
const settleLimit = 5 * time.Second

// goneHomes notes when homes were first found to be gone. It is safe for concurrent use.
type goneHomes struct {
	mu    sync.Mutex
	since map[int64]time.Time
}

// settled reports whether a home has been known to be gone for so long that the hosts
// which served its turns have settled them, if they still run.
func (g *goneHomes) settled(writer int64) bool {
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
	return time.Since(first) >= settleLimit
}
