package peers

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
)

// relayCandidate is a host that can pass requests on, with its sort order.
type relayCandidate struct {
	host     Host
	rank     int
	distance int
	order    uint64
}

// IsHost reports whether an IP address is that of a known host.
func (t *Table) IsHost(ip string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	prefix := ip + ":"
	for _, m := range t.members {
		if strings.HasPrefix(m.host.Addr, prefix) {
			return true
		}
	}
	return strings.HasPrefix(t.self.Addr, prefix)
}

// Relays returns up to limit live hosts that can pass requests on to replicas in the given failure
// domain, in order of preference. Overloaded and leaving hosts come last, and hosts in the domain
// come first; the order is random otherwise.
func (t *Table) Relays(domain string, limit int) []Host {
	t.mu.Lock()
	var candidates []relayCandidate
	for _, m := range t.members {
		if m.host.Relay != "" && !m.Stranded && t.aliveLocked(m) {
			candidates = append(candidates, relayCandidate{m.host, m.Condition.rank(false), domainDistance(m.host, domain), rand.Uint64()})
		}
	}
	t.mu.Unlock()
	slices.SortFunc(candidates, func(a, b relayCandidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.distance, b.distance), cmp.Compare(a.order, b.order))
	})
	hosts := make([]Host, 0, limit)
	for _, c := range candidates[:min(limit, len(candidates))] {
		hosts = append(hosts, c.host)
	}
	return hosts
}
