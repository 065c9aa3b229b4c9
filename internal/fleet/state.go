package fleet

import (
	"sort"

	"cowslipgw/internal/logservice"
	"cowslipgw/internal/structs"
)

// State is the state machine of the membership stream. It is deterministic: hosts that
// apply the same records have equal states. It is not safe for concurrent use.
type State struct {
	offset structs.Offset
	number structs.ViewNumber
	hosts  map[structs.HostID]Host
	// suspicions maps each suspected host to the hosts of the view that suspect it.
	suspicions map[structs.HostID]map[structs.HostID]bool
	ids        *idWindow
	// awaitingSnapshot is set from the trim of unapplied records until a snapshot is
	// restored. buffered holds the records that arrive in between, which are replayed on
	// top of the snapshot. firstKept is the oldest offset that the trim left in the log.
	awaitingSnapshot bool
	buffered         []logservice.Record
	firstKept        structs.Offset
}

// NewState returns the state before the first membership record.
func NewState() *State {
	return &State{
		hosts:      make(map[structs.HostID]Host),
		suspicions: make(map[structs.HostID]map[structs.HostID]bool),
		ids:        newIDWindow(nil),
	}
}

// Effect describes the result of applying one record.
type Effect struct {
	// View is the new view if the record changed the view, or nil.
	View *View
	// FromSnapshot is set if View was restored from a snapshot, so that preceding views
	// may be missing.
	FromSnapshot bool
	// Kind is the kind of the record, or empty if the record was not applied.
	Kind Kind
	// Joined is the host that a join record added, or nil.
	Joined *Host
	// Evicted holds the hosts that were removed because of suspicions.
	Evicted []Host
}

// Apply applies one record. Records must be applied in the order of their offsets. A
// record has no effect if it is malformed, of an unknown kind, a duplicate, or about a
// host that is not in the view.
func (s *State) Apply(record logservice.Record) Effect {
	if record.Offset <= s.offset && !s.awaitingSnapshot {
		return Effect{}
	}
	decoded, err := DecodeRecord(record.Data)
	if err == nil && decoded.Kind == KindSnapshot {
		return s.applySnapshot(record, decoded)
	}
	if s.awaitingSnapshot {
		s.buffered = append(s.buffered, record)
		return Effect{}
	}
	s.offset = record.Offset
	if err != nil || !s.ids.add(record.ID) {
		return Effect{}
	}
	return s.applyRecord(record.Offset, decoded)
}

// MarkTrimmed records that the log no longer has the records before first. The state
// does not change until a snapshot record is applied.
func (s *State) MarkTrimmed(first structs.Offset) {
	s.awaitingSnapshot = true
	s.firstKept = first
	s.buffered = nil
}

// Ready reports whether the state includes every record up to Offset. It returns false
// while the state awaits a snapshot.
func (s *State) Ready() bool { return !s.awaitingSnapshot }

// Offset returns the offset of the last applied record.
func (s *State) Offset() structs.Offset { return s.offset }

// View returns the fleet view of the state.
func (s *State) View() *View {
	view := &View{Number: s.number, Hosts: make([]Host, 0, len(s.hosts))}
	for _, host := range s.hosts {
		view.Hosts = append(view.Hosts, host)
	}
	sort.Slice(view.Hosts, func(i, j int) bool { return view.Hosts[i].ID < view.Hosts[j].ID })
	return view
}

// Suspects reports whether the host by suspects the target.
func (s *State) Suspects(by, target structs.HostID) bool {
	return s.suspicions[target][by]
}

// Suspected reports whether any host suspects the target.
func (s *State) Suspected(target structs.HostID) bool {
	return len(s.suspicions[target]) > 0
}

func (s *State) applyRecord(offset structs.Offset, r Record) Effect {
	effect := Effect{Kind: r.Kind}
	switch r.Kind {
	case KindJoin:
		effect.Joined = s.join(offset, r)
		effect.View = s.viewIfChanged(effect.Joined != nil, offset)
	case KindLeaving:
		effect.View = s.viewIfChanged(s.markLeaving(r), offset)
	case KindLeft:
		effect.View = s.viewIfChanged(s.applyLeft(r), offset)
	case KindSuspect:
		s.addSuspicion(r)
	case KindClear:
		s.clearSuspicion(r)
	default:
		return Effect{}
	}
	effect.Evicted = s.evict()
	if len(effect.Evicted) > 0 {
		effect.View = s.viewIfChanged(true, offset)
	}
	return effect
}

// viewIfChanged sets the view number to offset and returns the new view if the hosts
// changed, and nil otherwise.
func (s *State) viewIfChanged(changed bool, offset structs.Offset) *View {
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

func (s *State) markLeaving(r Record) bool {
	host, ok := s.targetHost(r)
	if !ok || host.Leaving {
		return false
	}
	host.Leaving = true
	s.hosts[host.ID] = host
	return true
}

func (s *State) applyLeft(r Record) bool {
	host, ok := s.targetHost(r)
	if ok {
		s.remove(host.ID)
	}
	return ok
}

func (s *State) addSuspicion(r Record) {
	host, ok := s.targetHost(r)
	by, found := s.hosts[r.By]
	if !ok || !found || by.Incarnation != r.ByIncarnation || by.ID == host.ID {
		return
	}
	if s.suspicions[host.ID] == nil {
		s.suspicions[host.ID] = make(map[structs.HostID]bool)
	}
	s.suspicions[host.ID][by.ID] = true
}

func (s *State) clearSuspicion(r Record) {
	by, found := s.hosts[r.By]
	if _, ok := s.targetHost(r); !ok || !found || by.Incarnation != r.ByIncarnation {
		return
	}
	s.removeSuspicion(r.Target, r.By)
}

// targetHost returns the host that a record is about, and false if the view does not
// contain that incarnation of it.
func (s *State) targetHost(r Record) (Host, bool) {
	host, ok := s.hosts[r.Target]
	return host, ok && host.Incarnation == r.TargetIncarnation
}

// remove removes a host from the view, together with all suspicions of it and by it.
func (s *State) remove(id structs.HostID) {
	delete(s.hosts, id)
	delete(s.suspicions, id)
	for target := range s.suspicions {
		s.removeSuspicion(target, id)
	}
}

func (s *State) removeSuspicion(target, by structs.HostID) {
	delete(s.suspicions[target], by)
	if len(s.suspicions[target]) == 0 {
		delete(s.suspicions, target)
	}
}
