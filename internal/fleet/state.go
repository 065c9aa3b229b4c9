package fleet

import (
	"sort"

	"cowslipgw/internal/logservice"
	"cowslipgw/internal/structs"
)

// State is the fold of the membership records. Hosts that fold the same records
// hold equal states. It is not safe for concurrent use.
type State struct {
	offset structs.Offset
	number structs.ViewNumber
	hosts  map[structs.HostID]Host
	// suspicions holds, by target, the hosts of the view that suspect it.
	suspicions map[structs.HostID]map[structs.HostID]bool
	ids        *idWindow
	// waiting is set after records were trimmed, until a snapshot record; held are the
	// records since then, for those that the snapshot does not include.
	waiting bool
	held    []logservice.Record
	first   structs.Offset
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{
		hosts:      make(map[structs.HostID]Host),
		suspicions: make(map[structs.HostID]map[structs.HostID]bool),
		ids:        newIDWindow(nil),
	}
}

// Effect says what folding one record did.
type Effect struct {
	// View is set when the record changed the view.
	View *View
	// Jumped means that View comes from a snapshot, so earlier views may be unknown.
	Jumped bool
	// Kind is the kind of the record, or empty when it was not applied.
	Kind Kind
	// Joined is the host that the record added.
	Joined *Host
	// Evicted are the hosts that the record's suspicion removed.
	Evicted []Host
}

// Fold applies one record. Records come in the order of their offsets. A record
// that is malformed, of an unknown kind, a duplicate, or about a host that is not in
// the view changes nothing.
func (s *State) Fold(record logservice.Record) Effect {
	if record.Offset <= s.offset && !s.waiting {
		return Effect{}
	}
	decoded, err := DecodeRecord(record.Data)
	if err == nil && decoded.Kind == KindSnapshot {
		return s.foldSnapshot(record, decoded)
	}
	if s.waiting {
		s.held = append(s.held, record)
		return Effect{}
	}
	s.offset = record.Offset
	if err != nil || !s.ids.add(record.ID) {
		return Effect{}
	}
	return s.apply(record.Offset, decoded)
}

// Trimmed says that the records before first are gone. The state stays as it is
// until a snapshot record.
func (s *State) Trimmed(first structs.Offset) {
	s.waiting = true
	s.first = first
	s.held = nil
}

// Ready reports whether the state includes every record up to Offset.
func (s *State) Ready() bool { return !s.waiting }

// Offset is the offset of the last record that the state includes.
func (s *State) Offset() structs.Offset { return s.offset }

// View returns the view of the state.
func (s *State) View() *View {
	view := &View{Number: s.number, Hosts: make([]Host, 0, len(s.hosts))}
	for _, host := range s.hosts {
		view.Hosts = append(view.Hosts, host)
	}
	sort.Slice(view.Hosts, func(i, j int) bool { return view.Hosts[i].ID < view.Hosts[j].ID })
	return view
}

// Suspects reports whether by suspects the target.
func (s *State) Suspects(by, target structs.HostID) bool {
	return s.suspicions[target][by]
}

// Suspected reports whether any host suspects the target.
func (s *State) Suspected(target structs.HostID) bool {
	return len(s.suspicions[target]) > 0
}

func (s *State) apply(offset structs.Offset, r Record) Effect {
	effect := Effect{Kind: r.Kind}
	switch r.Kind {
	case KindJoin:
		effect.Joined = s.join(offset, r)
		effect.View = s.changedIf(effect.Joined != nil, offset)
	case KindLeaving:
		effect.View = s.changedIf(s.leaving(r), offset)
	case KindLeft:
		effect.View = s.changedIf(s.left(r), offset)
	case KindSuspect:
		s.suspect(r)
	case KindClear:
		s.clear(r)
	default:
		return Effect{}
	}
	effect.Evicted = s.evict()
	if len(effect.Evicted) > 0 {
		effect.View = s.changedIf(true, offset)
	}
	return effect
}

func (s *State) changedIf(changed bool, offset structs.Offset) *View {
	if !changed {
		return nil
	}
	s.number = offset
	return s.View()
}

func (s *State) join(offset structs.Offset, r Record) *Host {
	if r.Host == nil || r.Host.ID == "" {
		return nil
	}
	host := *r.Host
	host.Incarnation = offset
	host.Leaving = false
	s.remove(host.ID)
	s.hosts[host.ID] = host
	return &host
}

func (s *State) leaving(r Record) bool {
	host, ok := s.target(r)
	if !ok || host.Leaving {
		return false
	}
	host.Leaving = true
	s.hosts[host.ID] = host
	return true
}

func (s *State) left(r Record) bool {
	host, ok := s.target(r)
	if ok {
		s.remove(host.ID)
	}
	return ok
}

func (s *State) suspect(r Record) {
	host, ok := s.target(r)
	by, known := s.hosts[r.By]
	if !ok || !known || by.Incarnation != r.ByIncarnation || by.ID == host.ID {
		return
	}
	if s.suspicions[host.ID] == nil {
		s.suspicions[host.ID] = make(map[structs.HostID]bool)
	}
	s.suspicions[host.ID][by.ID] = true
}

func (s *State) clear(r Record) {
	by, known := s.hosts[r.By]
	if _, ok := s.target(r); !ok || !known || by.Incarnation != r.ByIncarnation {
		return
	}
	s.forget(r.Target, r.By)
}

// target returns the host that a record is about, if it is the same incarnation.
func (s *State) target(r Record) (Host, bool) {
	host, ok := s.hosts[r.Target]
	return host, ok && host.Incarnation == r.TargetIncarnation
}

// remove takes a host out of the view with the suspicions about it and by it.
func (s *State) remove(id structs.HostID) {
	delete(s.hosts, id)
	delete(s.suspicions, id)
	for target := range s.suspicions {
		s.forget(target, id)
	}
}

func (s *State) forget(target, by structs.HostID) {
	delete(s.suspicions[target], by)
	if len(s.suspicions[target]) == 0 {
		delete(s.suspicions, target)
	}
}
