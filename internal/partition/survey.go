package partition

import (
	"cowslipgw/internal/fleet"
	"cowslipgw/internal/structs"
)

// survey collects what the owner of a view has learned about the copies of one
// partition.
type survey struct {
	id ID
	// answered holds the hosts that replied, with or without a copy.
	answered map[structs.HostID]bool
	// best is the best copy found and holder is the host that has it; holder is empty
	// when no copy was found.
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

// add records one host's copy.
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

// surveyResult states whether the best copy found is known to be the newest.
type surveyResult int

const (
	// resultPending means that a live host that may have a newer copy has not replied.
	resultPending surveyResult = iota
	// resultUnknown means that the table history does not reach back to the best copy's
	// view.
	resultUnknown
	// resultFound means that the best copy includes all acknowledged operations.
	resultFound
	// resultLost means that all replicas of a later view are gone.
	resultLost
)

// evaluate checks the best copy against the tables of the views up to the current one.
// In each view after the best copy's, operations were acknowledged only if all replicas
// of that view had activated it. A replica of such a view that replies with an older
// copy therefore proves that no operation was acknowledged in it.
func (s *survey) evaluate(history []*Table, fromStart bool) surveyResult {
	current := history[len(history)-1]
	oldest := history[0].Number()
	result := resultFound
	if !fromStart && s.best.Valid < oldest {
		result = resultUnknown
	}
	for _, table := range history[:len(history)-1] {
		if table.Number() <= s.best.Valid {
			continue
		}
		switch s.evaluateView(table, current.View()) {
		case resultPending:
			return resultPending
		case resultLost:
			result = resultLost
		}
	}
	return result
}

// evaluateView checks the best copy against one view that is later than the copy.
func (s *survey) evaluateView(table *Table, current *fleet.View) surveyResult {
	replicas := table.Replicas(s.id)
	if len(replicas) == 0 {
		return resultFound
	}
	result := resultLost
	for _, host := range replicas {
		if !current.Has(host.ID, host.Incarnation) {
			continue
		}
		if s.answered[host.ID] {
			return resultFound
		}
		result = resultPending
	}
	return result
}

// candidates returns the live hosts other than self that were replicas of the partition
// in the tables and still have the same incarnation.
func candidates(id ID, history []*Table, self structs.HostID) []fleet.Host {
	current := history[len(history)-1].View()
	var hosts []fleet.Host
	seen := make(map[structs.HostID]bool)
	for i := len(history) - 1; i >= 0; i-- {
		table := history[i]
		for _, index := range table.assignments[id] {
			if index == noHost {
				continue
			}
			host := &table.view.Hosts[index]
			if host.ID == self || seen[host.ID] || !current.Has(host.ID, host.Incarnation) {
				continue
			}
			seen[host.ID] = true
			hosts = append(hosts, current.Hosts[current.Index(host.ID)])
		}
	}
	return hosts
}
