package fleet

import (
	"context"
	"sync"
	"time"
)

const (
	// probeValid is how long a probe of the peers allows this host to join again.
	probeValid = 5 * time.Second
	// rejoinAnyway is the time since the eviction after which this host joins again
	// even if few peers answer, since most of them may be gone.
	rejoinAnyway = 30 * time.Second
)

// mayRejoinLocked reports whether an evicted host may join again. A host that is
// still cut off from its peers would be evicted again within seconds, and each of
// its joins would move partitions, so it first probes some of them.
func (m *Member) mayRejoinLocked(ctx context.Context, now time.Time) bool {
	if m.evictedAt.IsZero() || now.Sub(m.evictedAt) > rejoinAnyway || now.Sub(m.probed) < probeValid {
		return true
	}
	ranked := rankWatchers(m.View().Hosts, m.config.Self.ID)
	targets := spread(ranked, min(maxWatchers, len(ranked)))
	m.appends.start(ctx, "probe", func(ctx context.Context) {
		if 2*m.probe(ctx, targets) < len(targets) {
			return
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.probed = time.Now()
	})
	return false
}

// probe returns how many of the hosts answer.
func (m *Member) probe(ctx context.Context, hosts []Host) int {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var done sync.WaitGroup
	answers := make([]bool, len(hosts))
	for i, host := range hosts {
		done.Go(func() {
			var reply HeartbeatReply
			beat := m.heartbeat(host.ID, time.Now())
			answers[i] = m.config.Caller.Call(ctx, host.ControlAddress, "Fleet.Heartbeat", beat, &reply) == nil
		})
	}
	done.Wait()
	count := 0
	for _, answered := range answers {
		if answered {
			count++
		}
	}
	return count
}
