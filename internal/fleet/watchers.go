package fleet

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"cowslipgw/internal/structs"
)

const (
	// maxWatchers is how many hosts watch one host.
	maxWatchers = 6
	// minVotes is how many suspicions evict a host of a fleet of three or more.
	minVotes = 2
)

// Watchers returns the hosts that receive the heartbeats of the host with the given
// ID, and those of them whose suspicion counts. The first are up to six, ranked by a
// rendezvous hash and spread over failure domains. Those under suspicion have no
// vote. When fewer than two votes are left, the next unsuspected hosts of the ranking
// are added, so that the loss of most hosts at once can still be agreed on.
func Watchers(hosts []Host, target structs.HostID, suspected func(structs.HostID) bool) (watchers, voters []structs.HostID) {
	ranked := rankWatchers(hosts, target)
	chosen := make(map[structs.HostID]bool, maxWatchers)
	for _, host := range spread(ranked, maxWatchers) {
		chosen[host.ID] = true
		watchers = append(watchers, host.ID)
		if !suspected(host.ID) {
			voters = append(voters, host.ID)
		}
	}
	for _, host := range ranked {
		if len(voters) >= minVotes {
			break
		}
		if !chosen[host.ID] && !suspected(host.ID) {
			watchers = append(watchers, host.ID)
			voters = append(voters, host.ID)
		}
	}
	return watchers, voters
}

// rankWatchers orders all hosts but the target by their rendezvous score.
func rankWatchers(hosts []Host, target structs.HostID) []Host {
	seed := xxhash.Sum64String(string(target))
	type scored struct {
		host  Host
		score uint64
	}
	all := make([]scored, 0, len(hosts))
	for _, host := range hosts {
		if host.ID != target {
			all = append(all, scored{host, mix(seed ^ xxhash.Sum64String("watcher/"+string(host.ID)))})
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

// spread takes the first count hosts, with no failure domain above its even share
// while other domains have hosts left.
func spread(ranked []Host, count int) []Host {
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

// mix is the finalizer of SplitMix64; it spreads the combined hashes evenly.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}
