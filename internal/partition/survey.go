package partition

import (
	"cowslipgw/internal/fleet"
	"cowslipgw/internal/structs"
)

// survey is what the owner of a view has learned about the copies of one
// partition.
type survey struct {
	id ID
	// answered are the hosts that answered, with or without a copy.
	answered map[structs.HostID]bool
	// best is the best copy and holder the host that has it; holder is empty when no
	// copy was found.
	best   Copy
	holder structs.HostID
	// holders are the hosts that have a copy.
	holders map[structs.HostID]bool
}

func newSurvey(id ID) *survey {
	return &survey{
		id:       id,
		answered: make(map[structs.HostID]bool),
		best:     Copy{ID: id},
		holders:  make(map[structs.HostID]bool),
	}
}

// add takes in one host's copy.
func (s *survey) add(host structs.HostID, found Copy) {
	s.holders[host] = true
	valid := found.Valid
	if found.Base.Activated == s.best.Base.Activated {
		valid = max(valid, s.best.Valid)
	}
	switch {
	case s.holder == "" || s.best.Base.Before(found.Base):
		s.best = found
		s.holder = host
		s.best.Valid = valid
	case found.Base.Activated == s.best.Base.Activated:
		s.best.Valid = valid
	}
}

// verdict says whether the best copy found is known to be the newest.
type verdict int

const (
	// verdictWait means that a live host which may know more has not answered.
	verdictWait verdict = iota
	// verdictUnknown means that views after the best copy are not remembered.
	verdictUnknown
	// verdictFound means that the best copy includes everything that was acknowledged.
	verdictFound
	// verdictLost means that all replicas of a later view are gone.
	verdictLost
)

// judge decides on the best copy by the tables of the views up to and including the
// current one. In each view after the best copy's, operations were acknowledged
// only if all replicas of that view had activated it. One of them that answers with
// an older copy therefore shows that there were none.
func (s *survey) judge(history []*Table, fromStart bool) verdict {
	current := history[len(history)-1]
	remembered := history[0].Number()
	result := verdictFound
	if !fromStart && s.best.Valid < remembered {
		result = verdictUnknown
	}
	for _, table := range history[:len(history)-1] {
		if table.Number() <= s.best.Valid {
			continue
		}
		switch s.judgeView(table, current.View()) {
		case verdictWait:
			return verdictWait
		case verdictLost:
			result = verdictLost
		}
	}
	return result
}

func (s *survey) judgeView(table *Table, current *fleet.View) verdict {
	replicas := table.Replicas(s.id)
	if len(replicas) == 0 {
		return verdictFound
	}
	result := verdictLost
	for _, host := range replicas {
		if !current.Has(host.ID, host.Incarnation) {
			continue
		}
		if s.answered[host.ID] {
			return verdictFound
		}
		result = verdictWait
	}
	return result
}

// candidates returns the live hosts other than self that were replicas of the
// partition in the tables, with the incarnations that they had then.
func candidates(id ID, history []*Table, self structs.HostID) []fleet.Host {
	current := history[len(history)-1].View()
	var hosts []fleet.Host
	seen := make(map[structs.HostID]bool)
	for i := len(history) - 1; i >= 0; i-- {
		table := history[i]
		for _, place := range table.rows[id] {
			if place == none {
				continue
			}
			host := &table.view.Hosts[place]
			if host.ID == self || seen[host.ID] || !current.Has(host.ID, host.Incarnation) {
				continue
			}
			seen[host.ID] = true
			hosts = append(hosts, current.Hosts[current.Index(host.ID)])
		}
	}
	return hosts
}
