package peers

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// Informants returns up to limit other live hosts, those first that reach the store; the order is
// random otherwise.
func (t *Table) Informants(limit int) []Host {
	type informant struct {
		host  Host
		rank  int
		order uint64
	}
	t.mu.Lock()
	var found []informant
	for _, m := range t.members {
		if t.aliveLocked(m) {
			found = append(found, informant{m.host, m.Condition.rank(true), rand.Uint64()})
		}
	}
	t.mu.Unlock()
	slices.SortFunc(found, func(a, b informant) int { return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.order, b.order)) })
	hosts := make([]Host, 0, limit)
	for _, i := range found[:min(limit, len(found))] {
		hosts = append(hosts, i.host)
	}
	return hosts
}
