package lists

import (
	"cowslipgw/internal/structs"
)

// Outcome is the result of applying a record.
type Outcome int

const (
	// OutcomeIgnored means that the record was already applied or has no effect.
	OutcomeIgnored Outcome = iota
	// OutcomeAccepted means that the record became the version in force.
	OutcomeAccepted
	// OutcomeConflict means that the record is based on a version other than the one in
	// force.
	OutcomeConflict
	// OutcomeInvalid means that the record's text has faults.
	OutcomeInvalid
	// OutcomeDeferred means that earlier records are missing, so the record cannot be
	// applied until a snapshot arrives.
	OutcomeDeferred
	// OutcomeRestored means that a snapshot replaced the state.
	OutcomeRestored
)

// Limits of the records that are kept while an incomplete state waits for a snapshot.
const (
	maxPendingRecords = 256
	maxPendingBytes   = 32 << 20
)

// State is the result of applying the stream up to one offset. Fold never modifies the
// State that is passed to it.
type State struct {
	// Folded is the offset of the last applied record.
	Folded structs.Offset
	// Lists is the version in force; never nil.
	Lists *Lists
	// Complete is false while records are missing because the log was trimmed before
	// this host read them. An incomplete state accepts no change: the version in force
	// is unknown, and a wrong guess would make this host diverge from the others
	// permanently.
	Complete bool
	// pendingAfter is the offset after which pending contains every change.
	pendingAfter structs.Offset
	pending      []OffsetRecord
}

// OffsetRecord is a record with its offset in the log.
type OffsetRecord struct {
	Offset structs.Offset
	Record Record
}

// Step is the effect of one record. A snapshot can produce several steps, because
// deferred records are applied after it.
type Step struct {
	Record  OffsetRecord
	Outcome Outcome
	// Before and After are the versions in force before and after the record.
	Before, After *Lists
	Faults        []Fault
}

// NewState returns the initial state, before the first record.
func NewState() State {
	return State{Lists: Empty(), Complete: true}
}

// Fold applies one record. It is deterministic and has no side effects: equal states
// and records produce equal results on every host.
func Fold(state State, next OffsetRecord) (State, []Step) {
	if next.Offset <= state.Folded {
		return state, []Step{{Record: next, Before: state.Lists, After: state.Lists}}
	}
	state = skipTrimmed(state, next.Offset)
	state.Folded = next.Offset
	if state.Complete {
		step := applyChange(state.Lists, next)
		state.Lists = step.After
		return state, []Step{step}
	}
	if next.Record.Snapshot && next.Record.Base >= state.pendingAfter {
		return restoreSnapshot(state, next)
	}
	return deferRecord(state, next)
}

// skipTrimmed returns the state after the log was trimmed so that first is the oldest
// retained offset. If records between the state and first are lost, the state becomes
// incomplete.
func skipTrimmed(state State, first structs.Offset) State {
	if first <= state.Folded+1 {
		return state
	}
	state.Complete = false
	state.Folded = first - 1
	state.pendingAfter = first - 1
	state.pending = nil
	return state
}

// applyChange applies a change to a complete state.
func applyChange(current *Lists, next OffsetRecord) Step {
	step := Step{Record: next, Before: current, After: current}
	if next.Record.Snapshot {
		return step
	}
	if next.Record.Base != current.Version {
		step.Outcome = OutcomeConflict
		return step
	}
	parsed, faults := Parse(next.Record.Accounts, next.Record.Plans)
	if len(faults) > 0 {
		step.Outcome = OutcomeInvalid
		step.Faults = faults
		return step
	}
	parsed.Version = next.Offset
	step.Outcome = OutcomeAccepted
	step.After = parsed
	return step
}

// deferRecord keeps a change until a snapshot arrives. Above the limits the oldest
// pending changes are dropped; only a snapshot that covers the dropped changes can then
// complete the state.
func deferRecord(state State, next OffsetRecord) (State, []Step) {
	kept := append([]OffsetRecord(nil), state.pending...)
	if !next.Record.Snapshot {
		kept = append(kept, next)
	}
	for len(kept) > maxPendingRecords || pendingBytes(kept) > maxPendingBytes {
		state.pendingAfter = kept[0].Offset
		kept = kept[1:]
	}
	state.pending = kept
	return state, []Step{{Record: next, Outcome: OutcomeDeferred, Before: state.Lists, After: state.Lists}}
}

// pendingBytes returns the total size of the texts in the records.
func pendingBytes(records []OffsetRecord) int {
	total := 0
	for _, r := range records {
		total += len(r.Record.Accounts) + len(r.Record.Plans)
	}
	return total
}

// restoreSnapshot installs a snapshot and then applies the pending records that the
// snapshot does not cover. A snapshot that is older than the version in force, or that
// does not parse, changes nothing.
func restoreSnapshot(state State, next OffsetRecord) (State, []Step) {
	step := Step{Record: next, Before: state.Lists, After: state.Lists}
	if next.Record.Version < state.Lists.Version {
		return state, []Step{step}
	}
	parsed, faults := Parse(next.Record.Accounts, next.Record.Plans)
	if len(faults) > 0 {
		step.Outcome = OutcomeInvalid
		step.Faults = faults
		return state, []Step{step}
	}
	parsed.Version = next.Record.Version
	step.Outcome = OutcomeRestored
	step.After = parsed
	steps := []Step{step}
	for _, later := range state.pending {
		if later.Offset <= next.Record.Base {
			continue
		}
		applied := applyChange(parsed, later)
		parsed = applied.After
		steps = append(steps, applied)
	}
	state.Lists = parsed
	state.Complete = true
	state.pending = nil
	return state, steps
}
