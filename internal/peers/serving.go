package peers

import (
	"cmp"
	"slices"

	"cowslipgw/internal/boottime"
)

const (
	// servingShare of the fleet's processor time is enough to serve all callers: a fleet
	// is sized so that it can lose half of its hosts.
	servingShare = 0.5
	// minServing is the least number of hosts that callers are sent to, so that the loss of
	// a few leaves them others to turn to until they ask again.
	minServing = 8
)

// Serving returns the hosts that callers may be sent to, those of zone first. In a fleet
// of unequal hosts these are the largest ones: with fewer entries each knows the load of
// replicas better and keeps more connections in use, and a request takes less time.
// Strained hosts are left out while they are few.
func (t *Table) Serving(zone string) []Host {
	own := t.condition()
	t.mu.Lock()
	now, timeout := boottime.Now(), t.timeoutLocked()
	var able, weak []Host
	if own.Serving {
		able, weak = appendHost(able, weak, t.self, own.Strained)
	}
	for _, m := range t.members {
		if m.Serving && !m.Leaving && m.alive(now, timeout) {
			able, weak = appendHost(able, weak, m.host, m.Strained)
		}
	}
	t.mu.Unlock()
	hosts := append(able, weak...)
	// Many strained hosts show a load that needs all.
	if 4*len(weak) < len(hosts) {
		hosts = largest(able)
	}
	slices.SortFunc(hosts, func(a, b Host) int {
		return cmp.Or(cmp.Compare(distance(a, zone), distance(b, zone)), cmp.Compare(a.ID, b.ID))
	})
	return hosts
}

func appendHost(able, weak []Host, h Host, strained bool) ([]Host, []Host) {
	if strained {
		return able, append(weak, h)
	}
	return append(able, h), weak
}

// distance is 0 for a host in zone and 1 for any other.
func distance(h Host, zone string) int {
	if h.Zone == zone {
		return 0
	}
	return 1
}

// largest returns the largest hosts that together hold servingShare of the weight, and
// all others as large as the smallest of them.
func largest(hosts []Host) []Host {
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(b.weight(), a.weight()) })
	total, sum := 0.0, 0.0
	for _, h := range hosts {
		total += h.weight()
	}
	for n, h := range hosts {
		enough := sum >= servingShare*total && n >= minServing
		if enough && h.weight() < hosts[n-1].weight() {
			return hosts[:n]
		}
		sum += h.weight()
	}
	return hosts
}
