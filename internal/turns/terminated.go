package turns

import (
	"sync"
	"time"

	"cowslipgw/internal/peers"
)

const (
	// settlementGrace is how long after the end of an owner the hosts that serve the turns it
	// granted may still settle them: the time limit of a route, and a margin.
	settlementGrace = 5 * time.Second
	// removedGrace is how long a host must not be known any more until its owner counts as terminated, longer than a host
	// that has lost the store and its peers serves turns.
	removedGrace = time.Minute
	// maxSilence is how long turns wait for an owner that runs and does not answer. After that, what it has preallocated
	// counts as used. silentRetry is when callers may ask again meanwhile.
	maxSilence  = 30 * time.Second
	silentRetry = time.Second
)

// terminatedOwners records when owners were first found to have terminated. It is safe for
// concurrent use.
type terminatedOwners struct {
	mu    sync.Mutex
	since map[int64]time.Time
	// runs holds the present run of each known host, by the part of a writer ID that identifies the host.
	runs map[int64]hostRun
	// silentSince is when owners that run were first found not to answer.
	silentSince map[int64]time.Time
	// startedAt is when the hosts were first observed.
	startedAt time.Time
}

// hostRun is a run of a host.
type hostRun struct {
	writer int64
	// firstSeen is when this run was first observed, and lastSeen when the host was last known.
	firstSeen, lastSeen time.Time
}

// observe records the present runs of all known hosts.
func (g *terminatedOwners) observe(hosts []peers.Host, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.runs == nil {
		g.runs, g.startedAt = make(map[int64]hostRun), now
	}
	for _, h := range hosts {
		writer := WriterOf(h)
		run := g.runs[hostPart(writer)]
		if run.writer != writer {
			run = hostRun{writer: writer, firstSeen: now}
		}
		run.lastSeen = now
		g.runs[hostPart(writer)] = run
	}
}

// settled reports whether an owner terminated so long ago that the hosts that served its
// turns have settled them, if they still run. Unless the host's next run was observed, the first call for
// a writer starts the period.
func (g *terminatedOwners) settled(writer int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if run, known := g.runs[hostPart(writer)]; known && run.writer != writer {
		return time.Since(run.firstSeen) >= settlementGrace
	}
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

// unresolvedFor returns how long it may take until it is known what an owner has granted; 0 if it is known or will never
// be.
func (g *terminatedOwners) unresolvedFor(writer int64, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	run, known := g.runs[hostPart(writer)]
	switch {
	case !known:
		return 0
	case run.writer != writer:
		return max(settlementGrace-now.Sub(run.firstSeen), 0)
	}
	if g.silentSince == nil {
		g.silentSince = make(map[int64]time.Time)
	}
	since, asked := g.silentSince[writer]
	if !asked {
		since = now
		g.silentSince[writer] = now
	}
	if now.Sub(since) >= maxSilence {
		return 0
	}
	return silentRetry
}

// answered records that an owner answers.
func (g *terminatedOwners) answered(writer int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.silentSince, writer)
}

// removed reports whether the host of an owner has not been known for removedGrace.
func (g *terminatedOwners) removed(writer int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	last := g.startedAt
	if run, known := g.runs[hostPart(writer)]; known {
		last = run.lastSeen
	}
	return !last.IsZero() && time.Since(last) >= removedGrace
}
