package peers

import (
	"cmp"
	"slices"
)

const (
	// minServingShare is the share of the fleet's processor time that suffices to serve
	// all callers: a fleet is sized so that it can lose half of its hosts.
	minServingShare = 0.5
	// minServing is the minimum number of hosts that callers are sent to. If a few of them
	// fail, callers still have others until they resolve the addresses again.
	minServing = 8
	// maxStranded is the share of the hosts that callers are not sent to because these have lost
	// their links to replicas. If more have, the others do not bear all callers.
	maxStranded = 0.75
)

// Serving returns the hosts that callers may be sent to, those in the given failure domain
// first. In a fleet with hosts of different sizes only the largest are returned: with fewer
// entries, each of them has a better view of the replicas' load and reuses more
// connections, and a request takes less time. Overloaded hosts are left out while they are
// few, and stranded ones while they are not nearly all.
func (t *Table) Serving(domain string) []Host {
	t.mu.Lock()
	own := t.conditionLocked()
	var normal, overloaded, stranded []Host
	add := func(h Host, c Condition) {
		switch {
		case c.Stranded:
			stranded = append(stranded, h)
		case c.Overloaded:
			overloaded = append(overloaded, h)
		default:
			normal = append(normal, h)
		}
	}
	if own.Serving {
		add(t.self, own)
	}
	for _, m := range t.members {
		if m.Serving && !m.Leaving && t.aliveLocked(m) {
			add(m.host, m.Condition)
		}
	}
	t.mu.Unlock()
	if count := len(normal) + len(overloaded) + len(stranded); float64(len(stranded)) > maxStranded*float64(count) {
		normal = append(normal, stranded...)
	}
	hosts := append(normal, overloaded...)
	// If many hosts are overloaded, the load needs all of them.
	if 4*len(overloaded) < len(hosts) {
		hosts = largestHosts(normal)
	}
	slices.SortFunc(hosts, func(a, b Host) int {
		return cmp.Or(cmp.Compare(domainDistance(a, domain), domainDistance(b, domain)), cmp.Compare(a.ID, b.ID))
	})
	return hosts
}

// domainDistance returns 0 for a host in the given failure domain and 1 for any other.
func domainDistance(h Host, domain string) int {
	if h.Domain == domain {
		return 0
	}
	return 1
}

// largestHosts returns the largest hosts that together have minServingShare of the total
// weight, at least minServing, and all others as large as the smallest of them.
func largestHosts(hosts []Host) []Host {
	slices.SortFunc(hosts, func(a, b Host) int { return cmp.Compare(b.weight(), a.weight()) })
	total, sum := 0.0, 0.0
	for _, h := range hosts {
		total += h.weight()
	}
	for n, h := range hosts {
		enough := sum >= minServingShare*total && n >= minServing
		if enough && h.weight() < hosts[n-1].weight() {
			return hosts[:n]
		}
		sum += h.weight()
	}
	return hosts
}
