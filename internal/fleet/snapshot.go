package fleet

import (
	"sort"

	"cowslipgw/internal/logservice"
	"cowslipgw/internal/structs"
)

// Snapshot is the complete membership state after the record at Offset.
type Snapshot struct {
	Offset     structs.Offset     `json:"offset"`
	Number     structs.ViewNumber `json:"number"`
	Hosts      []Host             `json:"hosts"`
	Suspicions []Suspicion        `json:"suspicions,omitempty"`
	// IDs holds the hashes of the most recent record IDs, oldest first.
	IDs []uint64 `json:"ids"`
}

// Suspicion records that the host By suspects the host Target of having failed.
type Suspicion struct {
	Target structs.HostID `json:"target"`
	By     structs.HostID `json:"by"`
}

// Snapshot returns the state in the form that a snapshot record carries.
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

// applySnapshot applies a snapshot record. A state without missing records ignores the
// contents, because it already covers at least as many records. A state that awaits a
// snapshot after a trim restores it if no record after the snapshot's offset is
// missing, and then replays the buffered records.
func (s *State) applySnapshot(record logservice.Record, r Record) Effect {
	if !s.awaitingSnapshot {
		s.offset = record.Offset
		s.ids.add(record.ID)
		return Effect{Kind: KindSnapshot}
	}
	if r.Snapshot == nil || r.Snapshot.Offset <= s.offset || r.Snapshot.Offset+1 < s.firstKept {
		s.buffered = append(s.buffered, record)
		return Effect{}
	}
	buffered := s.buffered
	number := s.number
	s.restore(*r.Snapshot)
	for _, earlier := range buffered {
		s.Apply(earlier)
	}
	s.offset = record.Offset
	s.ids.add(record.ID)
	effect := Effect{Kind: KindSnapshot}
	if s.number != number {
		effect.View = s.View()
		effect.FromSnapshot = true
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
