package lists

import (
	"context"
	"time"

	"cowslipgw/internal/structs"
)

// Delays between retries of an append, with exponential backoff.
const (
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
)

// Appender appends records to the log. logservice.Log implements it.
type Appender interface {
	Append(ctx context.Context, stream, id string, data []byte) (structs.Offset, error)
}

// PutState is the outcome of a put.
type PutState int

const (
	// PutAccepted means that the change is in force on this host.
	PutAccepted PutState = iota + 1
	// PutConflict means that another version is in force. The change is rejected
	// permanently.
	PutConflict
	// PutInvalid means that the text has faults.
	PutInvalid
	// PutUnknown means that the context ended before the outcome was known. The change
	// may still be accepted.
	PutUnknown
)

// PutResult is the result of a put.
type PutResult struct {
	State PutState
	// Version is the accepted version, or the version in force after a conflict.
	Version structs.Offset
	// Changes are the versions accepted since the record's base, set after a conflict.
	Changes []Change
	Faults  []Fault
}

// Put appends a change and waits until this host has applied or rejected it. The append
// is retried with the same record ID until the log confirms it or ctx ends. The ID of
// the record must not have been used before.
func Put(ctx context.Context, log Appender, store *Store, record Record) (PutResult, error) {
	if _, faults := Parse(record.Accounts, record.Plans); len(faults) > 0 {
		return PutResult{State: PutInvalid, Faults: faults}, nil
	}
	// Versions only increase, so a change based on an older version can be rejected
	// without an append.
	if store.Complete() && store.Current().Version > record.Base {
		return conflict(store, record), nil
	}
	data, err := record.Encode()
	if err != nil {
		return PutResult{}, err
	}
	appendCtx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		appendWithRetry(appendCtx, log, record.ID, data)
	}()
	defer func() {
		cancel()
		<-done
	}()
	for {
		outcome, found, folded := store.outcome(record.ID)
		if found {
			return outcome.result(store, record), nil
		}
		select {
		case <-folded:
		case <-ctx.Done():
			return PutResult{State: PutUnknown, Version: store.Current().Version}, nil
		}
	}
}

// appendWithRetry appends the record, with backoff, until the log confirms it or ctx
// ends.
func appendWithRetry(ctx context.Context, log Appender, id string, data []byte) {
	wait := initialBackoff
	for {
		_, err := log.Append(ctx, Stream, id, data)
		if err == nil || ctx.Err() != nil {
			return
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		wait = min(2*wait, maxBackoff)
	}
}

// result converts the outcome of a record to a PutResult.
func (o recordOutcome) result(store *Store, record Record) PutResult {
	switch o.outcome {
	case OutcomeAccepted:
		return PutResult{State: PutAccepted, Version: o.version}
	case OutcomeInvalid:
		return PutResult{State: PutInvalid, Version: o.version, Faults: o.faults}
	default:
		return conflict(store, record)
	}
}

// conflict returns a PutResult with the versions accepted since the record's base.
func conflict(store *Store, record Record) PutResult {
	return PutResult{
		State:   PutConflict,
		Version: store.Current().Version,
		Changes: store.Since(record.Base),
	}
}
