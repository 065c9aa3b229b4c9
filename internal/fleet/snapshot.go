package fleet

import (
	"sort"

	"cowslipgw/internal/logservice"
	"cowslipgw/internal/structs"
)

// Snapshot is the whole state of the fold after the record at Offset.
type Snapshot struct {
	Offset     structs.Offset     `json:"offset"`
	Number     structs.ViewNumber `json:"number"`
	Hosts      []Host             `json:"hosts"`
	Suspicions []Suspicion        `json:"suspicions,omitempty"`
	// IDs are the hashes of the newest record IDs, the oldest first.
	IDs []uint64 `json:"ids"`
}

// Suspicion says that By suspects Target.
type Suspicion struct {
	Target structs.HostID `json:"target"`
	By     structs.HostID `json:"by"`
}

// Snapshot returns the state as a value that a snapshot record carries.
func (s *State) Snapshot() Snapshot {
	snapshot := Snapshot{Offset: s.offset, Number: s.number, Hosts: s.View().Hosts, IDs: s.ids.hashes()}
	for target, watchers := range s.suspicions {
		for by := range watchers {
			snapshot.Suspicions = append(snapshot.Suspicions, Suspicion{Target: target, By: by})
		}
	}
	sort.Slice(snapshot.Suspicions, func(i, j int) bool {
		a, b := snapshot.Suspicions[i], snapshot.Suspicions[j]
		if a.Target != b.Target {
			return a.Target < b.Target
		}
		return a.By < b.By
	})
	return snapshot
}

// foldSnapshot applies a snapshot record. A state that lacks no record ignores it,
// since it includes at least as much. A state that waits after a trim takes it if
// it has all records since the snapshot's offset.
func (s *State) foldSnapshot(record logservice.Record, r Record) Effect {
	if !s.waiting {
		s.offset = record.Offset
		s.ids.add(record.ID)
		return Effect{Kind: KindSnapshot}
	}
	if r.Snapshot == nil || r.Snapshot.Offset <= s.offset || r.Snapshot.Offset+1 < s.first {
		s.held = append(s.held, record)
		return Effect{}
	}
	held := s.held
	number := s.number
	s.restore(*r.Snapshot)
	for _, earlier := range held {
		s.Fold(earlier)
	}
	s.offset = record.Offset
	s.ids.add(record.ID)
	effect := Effect{Kind: KindSnapshot}
	if s.number != number {
		effect.View = s.View()
		effect.Jumped = true
	}
	return effect
}

func (s *State) restore(snapshot Snapshot) {
	*s = *NewState()
	s.offset = snapshot.Offset
	s.number = snapshot.Number
	s.ids = newIDWindow(snapshot.IDs)
	for _, host := range snapshot.Hosts {
		s.hosts[host.ID] = host
	}
	for _, suspicion := range snapshot.Suspicions {
		if s.suspicions[suspicion.Target] == nil {
			s.suspicions[suspicion.Target] = make(map[structs.HostID]bool)
		}
		s.suspicions[suspicion.Target][suspicion.By] = true
	}
}
