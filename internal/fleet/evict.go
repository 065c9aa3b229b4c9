package fleet

import (
	"sort"

	"cowslipgw/internal/structs"
)

// evict removes every host that a quorum of its voters suspects, and returns the removed
// hosts. It removes one host at a time, in the order of the IDs: an eviction changes the
// watchers of the other hosts, so the quorums are evaluated again after each one.
func (s *State) evict() []Host {
	var evicted []Host
	for {
		target, found := s.nextEviction()
		if !found {
			return evicted
		}
		evicted = append(evicted, s.hosts[target])
		s.remove(target)
	}
}

// nextEviction returns the lowest ID of a host that a quorum of its voters suspects.
func (s *State) nextEviction() (structs.HostID, bool) {
	targets := make([]structs.HostID, 0, len(s.suspicions))
	for target := range s.suspicions {
		targets = append(targets, target)
	}
	if len(targets) == 0 {
		return "", false
	}
	sort.Slice(targets, func(i, j int) bool { return targets[i] < targets[j] })
	hosts := s.View().Hosts
	for _, target := range targets {
		_, voters := Watchers(hosts, target, s.Suspected)
		if hasEvictionQuorum(len(hosts), len(voters), s.countVotes(target, voters)) {
			return target, true
		}
	}
	return "", false
}

// countVotes counts the voters that suspect the target.
func (s *State) countVotes(target structs.HostID, voters []structs.HostID) int {
	votes := 0
	for _, voter := range voters {
		if s.suspicions[target][voter] {
			votes++
		}
	}
	return votes
}

// hasEvictionQuorum reports whether the votes suffice to evict a host: a majority of
// the voters and at least two votes, or one vote in a fleet of two hosts.
func hasEvictionQuorum(hosts, voters, votes int) bool {
	required := minEvictionVotes
	if hosts == 2 {
		required = 1
	}
	return votes >= required && 2*votes > voters
}
