package fleet

import (
	"sort"

	"cowslipgw/internal/structs"
)

// evict removes the hosts that enough of their watchers suspect, one at a time in
// the order of their IDs, until none is left. An eviction changes who watches whom,
// so the rest is judged again after each.
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
		if enoughVotes(len(hosts), len(voters), s.votes(target, voters)) {
			return target, true
		}
	}
	return "", false
}

// votes counts the voters that suspect the target.
func (s *State) votes(target structs.HostID, voters []structs.HostID) int {
	votes := 0
	for _, voter := range voters {
		if s.suspicions[target][voter] {
			votes++
		}
	}
	return votes
}

// enoughVotes is the eviction rule: a majority of the unsuspected watchers, and at
// least two of them, or one in a fleet of two.
func enoughVotes(hosts, voters, votes int) bool {
	least := minVotes
	if hosts == 2 {
		least = 1
	}
	return votes >= least && 2*votes > voters
}
