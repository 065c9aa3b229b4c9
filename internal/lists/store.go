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
	// maxHistory is the number of changes that the history keeps.
	maxHistory = 200
	// maxOutcomes is the number of records whose outcomes are kept for pending puts.
	maxOutcomes = 512
)

// Store applies the records of the lists stream on one host and holds the version in
// force. Its methods are safe for concurrent use.
type Store struct {
	now    func() time.Time
	logger *event.Logger
	// current is read on the request path, which must not wait for the mutex while a
	// new version is parsed.
	current atomic.Pointer[Lists]

	mu           sync.Mutex
	state        State
	lastSnapshot structs.Offset
	history      []Change
	outcomes     map[string]recordOutcome
	outcomeOrder []string
	// changed is closed and replaced when a newer version comes into force, folded after
	// each applied record.
	changed chan struct{}
	folded  chan struct{}
}

// recordOutcome is the outcome of one applied record.
type recordOutcome struct {
	outcome Outcome
	version structs.Offset
	faults  []Fault
}

// NewStore returns a store with empty lists. now supplies the timestamps of the
// history.
func NewStore(now func() time.Time, logger *event.Logger) *Store {
	s := &Store{
		now:      now,
		logger:   logger,
		state:    NewState(),
		outcomes: make(map[string]recordOutcome),
		changed:  make(chan struct{}),
		folded:   make(chan struct{}),
	}
	s.current.Store(s.state.Lists)
	return s
}

// Current returns the version in force. The caller must not modify it.
func (s *Store) Current() *Lists {
	return s.current.Load()
}

// Changed returns a channel that is closed when a newer version comes into force.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Complete reports whether the version in force is known. It is false after a start on
// a trimmed log, until a snapshot is applied.
func (s *Store) Complete() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Complete
}

// Folded returns the offset of the last applied record.
func (s *Store) Folded() structs.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Folded
}

// History returns the most recent changes, oldest first.
func (s *Store) History() []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Change(nil), s.history...)
}

// Since returns the changes in the history that are newer than version.
func (s *Store) Since(version structs.Offset) []Change {
	var since []Change
	for _, c := range s.History() {
		if c.Version > version {
			since = append(since, c)
		}
	}
	return since
}

// Fold applies one record of the log. Records must be passed in order of their offsets.
// A record that cannot be decoded is logged and changes nothing.
func (s *Store) Fold(record logservice.Record) {
	decoded, err := DecodeRecord(record.Data)
	if err != nil {
		s.logger.Log(event.ListsRecordInvalid, event.Fields{"offset": record.Offset, "error": err.Error()})
		decoded = Record{Base: record.Offset}
	}
	decoded.ID = record.ID
	s.mu.Lock()
	defer s.mu.Unlock()
	next, steps := Fold(s.state, OffsetRecord{Offset: record.Offset, Record: decoded})
	before := s.state.Lists
	s.state = next
	if decoded.Snapshot {
		s.lastSnapshot = record.Offset
	}
	for _, step := range steps {
		s.recordStepLocked(step)
	}
	if next.Lists != before {
		s.current.Store(next.Lists)
		close(s.changed)
		s.changed = make(chan struct{})
	}
	close(s.folded)
	s.folded = make(chan struct{})
}

// Trimmed tells the store that first is the oldest offset that the log retains. If
// records before it were not applied yet, the version in force is unknown until a
// snapshot is applied.
func (s *Store) Trimmed(first structs.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = skipTrimmed(s.state, first)
}

// LastSnapshot returns the offset of the newest applied snapshot record, or 0 if there
// is none.
func (s *Store) LastSnapshot() structs.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastSnapshot
}

// recordStepLocked logs a step and adds it to the history and to the outcomes that
// pending puts wait for. The caller must hold s.mu.
func (s *Store) recordStepLocked(step Step) {
	id := step.Record.Record.ID
	fields := event.Fields{"version": step.After.Version, "record": id, "by": step.Record.Record.By}
	switch step.Outcome {
	case OutcomeAccepted:
		change := Change{
			Version: step.After.Version, ID: id, Base: step.Record.Record.Base,
			By: step.Record.Record.By, Message: step.Record.Record.Message,
			Folded: s.now(), Changes: Diff(step.Before, step.After),
		}
		s.history = append(s.history, change)
		s.logger.Log(event.ListsChanged, fields)
	case OutcomeRestored:
		s.history = append([]Change(nil), step.Record.Record.History...)
		s.logger.Log(event.ListsRestored, fields)
	case OutcomeConflict:
		s.logger.Log(event.ListsConflict, fields)
	case OutcomeInvalid:
		fields["faults"] = len(step.Faults)
		s.logger.Log(event.ListsRecordInvalid, fields)
	case OutcomeDeferred:
		s.logger.Log(event.ListsIncomplete, fields)
		return
	case OutcomeIgnored:
		return
	}
	if more := len(s.history) - maxHistory; more > 0 {
		s.history = append([]Change(nil), s.history[more:]...)
	}
	s.storeOutcomeLocked(id, recordOutcome{outcome: step.Outcome, version: step.After.Version, faults: step.Faults})
}

// storeOutcomeLocked stores the outcome of a record ID. Only the first outcome counts:
// a duplicate append of the same record is compared with a later version, so its
// outcome does not apply to the first append. The caller must hold s.mu.
func (s *Store) storeOutcomeLocked(id string, outcome recordOutcome) {
	if _, exists := s.outcomes[id]; exists {
		return
	}
	s.outcomes[id] = outcome
	s.outcomeOrder = append(s.outcomeOrder, id)
	if len(s.outcomeOrder) > maxOutcomes {
		delete(s.outcomes, s.outcomeOrder[0])
		s.outcomeOrder = s.outcomeOrder[1:]
	}
}

// outcome returns the outcome of a record ID, if there is one, and a channel that is
// closed when the next record is applied.
func (s *Store) outcome(id string) (recordOutcome, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if outcome, ok := s.outcomes[id]; ok {
		return outcome, true, s.folded
	}
	// The record itself may have been trimmed and be present only in a snapshot's
	// history.
	for _, c := range s.history {
		if c.ID == id {
			return recordOutcome{outcome: OutcomeAccepted, version: c.Version}, true, s.folded
		}
	}
	return recordOutcome{}, false, s.folded
}

// Snapshot returns a snapshot record, from which a host can start after the log was
// trimmed. ok is false if this host's own state is incomplete or empty.
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
