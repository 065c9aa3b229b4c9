package lists

import (
	"sync"
	"sync/atomic"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/logservice"
	"cowslipgw/internal/structs"
)

const (
	// historyLength is how many changes the history keeps.
	historyLength = 200
	// outcomeLength is how many judged records are remembered for waiting puts.
	outcomeLength = 512
)

// Store holds a host's fold of the lists. Its methods are safe for concurrent use.
type Store struct {
	now    func() time.Time
	logger *event.Logger
	// current is read on the request path, which must not wait for the lock while a new
	// version is parsed.
	current atomic.Pointer[Lists]

	mu       sync.Mutex
	state    State
	snapshot structs.Offset
	history  []Change
	outcomes map[string]judged
	order    []string
	changed  chan struct{}
	folded   chan struct{}
}

// judged is what the fold decided on one record.
type judged struct {
	verdict Verdict
	version structs.Offset
	faults  []Fault
}

// NewStore returns a store with empty lists. now gives the time for the history.
func NewStore(now func() time.Time, logger *event.Logger) *Store {
	s := &Store{
		now:      now,
		logger:   logger,
		state:    NewState(),
		outcomes: make(map[string]judged),
		changed:  make(chan struct{}),
		folded:   make(chan struct{}),
	}
	s.current.Store(s.state.Lists)
	return s
}

// Current returns the lists in force. They must not be changed.
func (s *Store) Current() *Lists {
	return s.current.Load()
}

// Changed returns a channel that is closed when a newer version is in force.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Complete reports whether the lists in force are known: false after a start on a
// trimmed log, until a snapshot is folded.
func (s *Store) Complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Complete
}

// Folded returns the offset of the last record folded.
func (s *Store) Folded() structs.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Folded
}

// History returns the latest changes, the oldest first.
func (s *Store) History() []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Change(nil), s.history...)
}

// Since returns the changes after a version.
func (s *Store) Since(version structs.Offset) []Change {
	var since []Change
	for _, c := range s.History() {
		if c.Version > version {
			since = append(since, c)
		}
	}
	return since
}

// Fold applies one record of the log, in the order of offsets. A record that cannot
// be decoded changes nothing.
func (s *Store) Fold(record logservice.Record) {
	decoded, err := DecodeRecord(record.Data)
	if err != nil {
		s.logger.Log(event.ListsRecordInvalid, event.Fields{"offset": record.Offset, "error": err.Error()})
		decoded = Record{Base: record.Offset}
	}
	decoded.ID = record.ID
	s.mu.Lock()
	defer s.mu.Unlock()
	next, steps := Fold(s.state, Positioned{Offset: record.Offset, Record: decoded})
	before := s.state.Lists
	s.state = next
	if decoded.Snapshot {
		s.snapshot = record.Offset
	}
	for _, step := range steps {
		s.noteLocked(step)
	}
	if next.Lists != before {
		s.current.Store(next.Lists)
		close(s.changed)
		s.changed = make(chan struct{})
	}
	close(s.folded)
	s.folded = make(chan struct{})
}

// Trimmed says that the log keeps no record before first. Unless they were folded, the
// lists in force are not known until a snapshot is folded.
func (s *Store) Trimmed(first structs.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = trim(s.state, first)
}

// LastSnapshot returns the offset of the newest snapshot record folded; 0 for none.
func (s *Store) LastSnapshot() structs.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

// noteLocked records one step in the history and for waiting puts. s.mu is held.
func (s *Store) noteLocked(step Step) {
	id := step.Record.Record.ID
	fields := event.Fields{"version": step.After.Version, "record": id, "by": step.Record.Record.By}
	switch step.Verdict {
	case VerdictAccepted:
		change := Change{
			Version: step.After.Version, ID: id, Base: step.Record.Record.Base,
			By: step.Record.Record.By, Message: step.Record.Record.Message,
			Folded: s.now(), Changes: Diff(step.Before, step.After),
		}
		s.history = append(s.history, change)
		s.logger.Log(event.ListsChanged, fields)
	case VerdictRestored:
		s.history = append([]Change(nil), step.Record.Record.History...)
		s.logger.Log(event.ListsRestored, fields)
	case VerdictConflict:
		s.logger.Log(event.ListsConflict, fields)
	case VerdictInvalid:
		fields["faults"] = len(step.Faults)
		s.logger.Log(event.ListsRecordInvalid, fields)
	case VerdictDeferred:
		s.logger.Log(event.ListsIncomplete, fields)
		return
	case VerdictIgnored:
		return
	}
	if more := len(s.history) - historyLength; more > 0 {
		s.history = append([]Change(nil), s.history[more:]...)
	}
	s.rememberLocked(id, judged{verdict: step.Verdict, version: step.After.Version, faults: step.Faults})
}

// rememberLocked keeps the first verdict on a record ID: a second append of the same
// record is judged against a later version and says nothing about the first.
func (s *Store) rememberLocked(id string, verdict judged) {
	if _, known := s.outcomes[id]; known {
		return
	}
	s.outcomes[id] = verdict
	s.order = append(s.order, id)
	if len(s.order) > outcomeLength {
		delete(s.outcomes, s.order[0])
		s.order = s.order[1:]
	}
}

// outcome returns the verdict on a record ID and a channel that is closed when the
// next record is folded.
func (s *Store) outcome(id string) (judged, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if verdict, ok := s.outcomes[id]; ok {
		return verdict, true, s.folded
	}
	// The record may have been trimmed and be known from a snapshot only.
	for _, c := range s.history {
		if c.ID == id {
			return judged{verdict: VerdictAccepted, version: c.Version}, true, s.folded
		}
	}
	return judged{}, false, s.folded
}

// Snapshot returns the record that lets a host start after the log was trimmed. ok is
// false while this host's own state is incomplete or empty.
func (s *Store) Snapshot(id string) (record Record, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.state.Complete || s.state.Folded == 0 {
		return Record{}, false
	}
	return Record{
		ID:       id,
		Base:     s.state.Folded,
		Accounts: s.state.Lists.AccountsText,
		Plans:    s.state.Lists.PlansText,
		Snapshot: true,
		Version:  s.state.Lists.Version,
		History:  append([]Change(nil), s.history...),
	}, true
}
