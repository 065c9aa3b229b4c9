package lists

import (
	"context"
	"time"

	"cowslipgw/internal/structs"
)

// Retries of an append wait this long, doubled up to the limit.
const (
	firstRetry = 100 * time.Millisecond
	lastRetry  = 2 * time.Second
)

// Appender appends to the log; logservice.Log has it.
type Appender interface {
	Append(ctx context.Context, stream, id string, data []byte) (structs.Offset, error)
}

// PutState says how a put ended.
type PutState int

const (
	// PutAccepted means that the change is in force at this host.
	PutAccepted PutState = iota + 1
	// PutConflict means that another version is in force; the change is refused for good.
	PutConflict
	// PutInvalid means that the text has faults.
	PutInvalid
	// PutUnknown means that the context ended first: the change may still be accepted.
	PutUnknown
)

// PutResult is the outcome of a put.
type PutResult struct {
	State PutState
	// Version is the accepted version, or the one in force at a conflict.
	Version structs.Offset
	// Changes are the versions after the record's base, at a conflict.
	Changes []Change
	Faults  []Fault
}

// Put appends a change and waits until this host's fold has judged it. It retries the
// append with the same record ID until the log answers or ctx ends. The record needs
// an ID that was never used.
func Put(ctx context.Context, log Appender, store *Store, record Record) (PutResult, error) {
	if _, faults := Parse(record.Accounts, record.Plans); len(faults) > 0 {
		return PutResult{State: PutInvalid, Faults: faults}, nil
	}
	// A version never comes back, so a change on an older one can be refused unsent.
	if store.Complete() && store.Current().Version > record.Base {
		return conflict(store, record), nil
	}
	data, err := record.Encode()
	if err != nil {
		return PutResult{}, err
	}
	appending, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		appendUntilDone(appending, log, record.ID, data)
	}()
	defer func() {
		stop()
		<-ended
	}()
	for {
		verdict, known, folded := store.outcome(record.ID)
		if known {
			return verdict.result(store, record), nil
		}
		select {
		case <-folded:
		case <-ctx.Done():
			return PutResult{State: PutUnknown, Version: store.Current().Version}, nil
		}
	}
}

// appendUntilDone appends until the log confirms it or ctx ends.
func appendUntilDone(ctx context.Context, log Appender, id string, data []byte) {
	wait := firstRetry
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
		wait = min(2*wait, lastRetry)
	}
}

// result turns the fold's verdict into the put's outcome.
func (j judged) result(store *Store, record Record) PutResult {
	switch j.verdict {
	case VerdictAccepted:
		return PutResult{State: PutAccepted, Version: j.version}
	case VerdictInvalid:
		return PutResult{State: PutInvalid, Version: j.version, Faults: j.faults}
	default:
		return conflict(store, record)
	}
}

// conflict describes what was accepted after the record's base.
func conflict(store *Store, record Record) PutResult {
	return PutResult{
		State:   PutConflict,
		Version: store.Current().Version,
		Changes: store.Since(record.Base),
	}
}
