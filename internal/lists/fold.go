package lists

import (
	"cowslipgw/internal/structs"
)

// Verdict says what the fold did with a record.
type Verdict int

const (
	// VerdictIgnored means that the record was folded before or changes nothing.
	VerdictIgnored Verdict = iota
	// VerdictAccepted means that the record is the version in force.
	VerdictAccepted
	// VerdictConflict means that the record was edited from another version.
	VerdictConflict
	// VerdictInvalid means that the record's text has faults.
	VerdictInvalid
	// VerdictDeferred means that records before this one are missing, so that it
	// cannot be judged before a snapshot.
	VerdictDeferred
	// VerdictRestored means that a snapshot replaced the state.
	VerdictRestored
)

// Pending records are kept while the state waits for a snapshot.
const (
	maxPendingRecords = 256
	maxPendingBytes   = 32 << 20
)

// State is the fold of the stream up to one offset. Fold never changes a State that
// it was given.
type State struct {
	// Folded is the offset of the last record.
	Folded structs.Offset
	// Lists are in force; never nil.
	Lists *Lists
	// Complete is false while records are missing that were trimmed before this host
	// read them. An incomplete state accepts no change: it cannot know the version in
	// force, and a host that guessed would differ from the others for ever.
	Complete bool
	// after is the offset after which pending holds every record.
	after   structs.Offset
	pending []Positioned
}

// Positioned is a record with its offset.
type Positioned struct {
	Offset structs.Offset
	Record Record
}

// Step is what one record changed. A snapshot can bring several steps.
type Step struct {
	Record  Positioned
	Verdict Verdict
	// Before and After are the lists in force before and after the record.
	Before, After *Lists
	Faults        []Fault
}

// NewState returns the state before the first record.
func NewState() State {
	return State{Lists: Empty(), Complete: true}
}

// Fold applies one record. It is pure: equal states and records give equal results on
// every host.
func Fold(state State, next Positioned) (State, []Step) {
	if next.Offset <= state.Folded {
		return state, []Step{{Record: next, Before: state.Lists, After: state.Lists}}
	}
	state = trim(state, next.Offset)
	state.Folded = next.Offset
	if state.Complete {
		step := change(state.Lists, next)
		state.Lists = step.After
		return state, []Step{step}
	}
	if next.Record.Snapshot && next.Record.Base >= state.after {
		return restore(state, next)
	}
	return postpone(state, next)
}

// trim returns the state when the log keeps no record before first. Records between the
// state and first are missing then.
func trim(state State, first structs.Offset) State {
	if first <= state.Folded+1 {
		return state
	}
	state.Complete = false
	state.Folded = first - 1
	state.after = first - 1
	state.pending = nil
	return state
}

// change judges a change on a complete state.
func change(current *Lists, next Positioned) Step {
	step := Step{Record: next, Before: current, After: current}
	if next.Record.Snapshot {
		return step
	}
	if next.Record.Base != current.Version {
		step.Verdict = VerdictConflict
		return step
	}
	parsed, faults := Parse(next.Record.Accounts, next.Record.Plans)
	if len(faults) > 0 {
		step.Verdict = VerdictInvalid
		step.Faults = faults
		return step
	}
	parsed.Version = next.Offset
	step.Verdict = VerdictAccepted
	step.After = parsed
	return step
}

// postpone keeps a change until a snapshot arrives. The oldest are dropped at the
// limit; then only a newer snapshot completes the state.
func postpone(state State, next Positioned) (State, []Step) {
	kept := append([]Positioned(nil), state.pending...)
	if !next.Record.Snapshot {
		kept = append(kept, next)
	}
	for len(kept) > maxPendingRecords || pendingBytes(kept) > maxPendingBytes {
		state.after = kept[0].Offset
		kept = kept[1:]
	}
	state.pending = kept
	return state, []Step{{Record: next, Verdict: VerdictDeferred, Before: state.Lists, After: state.Lists}}
}

// pendingBytes is the size of the texts in the records.
func pendingBytes(records []Positioned) int {
	total := 0
	for _, r := range records {
		total += len(r.Record.Accounts) + len(r.Record.Plans)
	}
	return total
}

// restore installs a snapshot and judges the records between the snapshot's state and
// its own offset. A snapshot that is older than the lists in force, or that does not
// parse, changes nothing.
func restore(state State, next Positioned) (State, []Step) {
	step := Step{Record: next, Before: state.Lists, After: state.Lists}
	if next.Record.Version < state.Lists.Version {
		return state, []Step{step}
	}
	parsed, faults := Parse(next.Record.Accounts, next.Record.Plans)
	if len(faults) > 0 {
		step.Verdict = VerdictInvalid
		step.Faults = faults
		return state, []Step{step}
	}
	parsed.Version = next.Record.Version
	step.Verdict = VerdictRestored
	step.After = parsed
	steps := []Step{step}
	for _, later := range state.pending {
		if later.Offset <= next.Record.Base {
			continue
		}
		judged := change(parsed, later)
		parsed = judged.After
		steps = append(steps, judged)
	}
	state.Lists = parsed
	state.Complete = true
	state.pending = nil
	return state, steps
}
