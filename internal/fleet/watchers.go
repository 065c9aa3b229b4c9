package fleet

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"cowslipgw/internal/structs"
)

const (
	// maxWatchers is the usual limit on the number of watchers of one host.
	maxWatchers = 6
	// minEvictionVotes is the minimum number of suspicions that evict a host from a fleet
	// of three or more hosts.
	minEvictionVotes = 2
)

// Watchers returns the hosts that receive the heartbeats of the target, and the voters
// among them, whose suspicions count towards its eviction. Up to six watchers are
// chosen by rendezvous hashing and spread over failure domains. Suspected watchers have
// no vote. If fewer than two voters remain, the next unsuspected hosts of the ranking
// are added as watchers and voters, so that the fleet can still agree on evictions
// after most hosts have failed at once.
func Watchers(hosts []Host, target structs.HostID, suspected func(structs.HostID) bool) (watchers, voters []structs.HostID) {
	ranked := rankWatchers(hosts, target)
	chosen := make(map[structs.HostID]bool, maxWatchers)
	for _, host := range spreadOverDomains(ranked, maxWatchers) {
		chosen[host.ID] = true
		watchers = append(watchers, host.ID)
		if !suspected(host.ID) {
			voters = append(voters, host.ID)
		}
	}
	for _, host := range ranked {
		if len(voters) >= minEvictionVotes {
			break
		}
		if !chosen[host.ID] && !suspected(host.ID) {
			watchers = append(watchers, host.ID)
			voters = append(voters, host.ID)
		}
	}
	return watchers, voters
}

// rankWatchers returns all hosts except the target in descending order of their
// rendezvous score for the target.
func rankWatchers(hosts []Host, target structs.HostID) []Host {
	seed := xxhash.Sum64String(string(target))
	type scored struct {
		host  Host
		score uint64
	}
	all := make([]scored, 0, len(hosts))
	for _, host := range hosts {
		if host.ID != target {
			all = append(all, scored{host, splitMix64(seed ^ xxhash.Sum64String("watcher/"+string(host.ID)))})
		}
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].score != all[j].score {
			return all[i].score > all[j].score
		}
		return all[i].host.ID < all[j].host.ID
	})
	ranked := make([]Host, len(all))
	for i, s := range all {
		ranked[i] = s.host
	}
	return ranked
}

// spreadOverDomains selects count hosts in ranking order. No failure domain gets more
// than an even share while other domains have hosts left.
func spreadOverDomains(ranked []Host, count int) []Host {
	domains := make(map[structs.Domain]int)
	for _, host := range ranked {
		domains[host.Domain] = 0
	}
	if len(ranked) <= count {
		return ranked
	}
	share := (count + len(domains) - 1) / len(domains)
	taken := make([]Host, 0, count)
	var rest []Host
	for _, host := range ranked {
		if len(taken) < count && domains[host.Domain] < share {
			domains[host.Domain]++
			taken = append(taken, host)
			continue
		}
		rest = append(rest, host)
	}
	return append(taken, rest[:count-len(taken)]...)
}

// splitMix64 is the finalizer of the SplitMix64 generator. It makes the XOR of two
// hashes uniformly distributed.
func splitMix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
