package fleet

import (
	"context"
	"sync"
	"time"
)

const (
	// probeTTL is how long a successful probe of the peers allows this host to join again.
	probeTTL = 5 * time.Second
	// unconditionalRejoinDelay is the time since the eviction after which this host joins
	// again even if few peers answer, because most of them may have failed.
	unconditionalRejoinDelay = 30 * time.Second
)

// mayRejoinLocked reports whether an evicted host may join again. A host that is still
// partitioned from its peers would be evicted again within seconds, and each of its
// joins would move partitions. It therefore first probes up to six peers, and at least
// half of them must answer.
func (m *Member) mayRejoinLocked(ctx context.Context, now time.Time) bool {
	if m.evictedAt.IsZero() || now.Sub(m.evictedAt) > unconditionalRejoinDelay || now.Sub(m.probedAt) < probeTTL {
		return true
	}
	ranked := rankWatchers(m.View().Hosts, m.config.Self.ID)
	targets := spreadOverDomains(ranked, min(maxWatchers, len(ranked)))
	m.appends.start(ctx, "probe", func(ctx context.Context) {
		if 2*m.probe(ctx, targets) < len(targets) {
			return
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		m.probedAt = time.Now()
	})
	return false
}

// probe sends a heartbeat to each of the hosts and returns how many of them answer.
func (m *Member) probe(ctx context.Context, hosts []Host) int {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var done sync.WaitGroup
	answers := make([]bool, len(hosts))
	for i, host := range hosts {
		done.Go(func() {
			var reply HeartbeatReply
			beat := m.newHeartbeat(host.ID, time.Now())
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
