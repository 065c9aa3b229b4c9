package fleettest

import (
	"context"
	"errors"
	"sync"
	"time"

	"cowslipgw/internal/logservice"
	"cowslipgw/internal/structs"
)

// handler receives the records of a stream. It has the methods of logservice.Handler.
type handler interface {
	Apply(records []logservice.Record)
	Trimmed(first structs.Offset)
}

// Follower follows one stream on behalf of one host. It is a simplified
// logservice.Follower.
type Follower struct {
	log     *Log
	host    structs.HostID
	stream  string
	handler handler

	applyMu   sync.Mutex
	mu        sync.Mutex
	offset    structs.Offset
	records   []logservice.Record
	endReadAt time.Time
	started   time.Time
}

func newFollower(log *Log, host structs.HostID, stream string, handler handler) *Follower {
	return &Follower{log: log, host: host, stream: stream, handler: handler, started: time.Now()}
}

func (f *Follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		start := time.Now()
		batch, err := f.log.read(ctx, f.host, f.stream, f.Offset())
		switch {
		case err == nil:
			f.Offer(batch.Records)
			f.recordRead(start, batch.End)
		case errors.Is(err, logservice.ErrTrimmed):
			f.trimmed(batch.First)
		default:
			f.log.awaitChange(ctx, outageRetryInterval)
		}
	}
}

func (f *Follower) recordRead(start time.Time, end structs.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.offset >= end {
		f.endReadAt = start
	}
}

func (f *Follower) trimmed(first structs.Offset) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if first <= f.Offset()+1 {
		return
	}
	f.handler.Trimmed(first)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.offset = first - 1
	f.records = nil
}

// Offer passes the records that directly follow the current offset to the handler and
// returns their number.
func (f *Follower) Offer(records []logservice.Record) int {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	next := f.Offset() + 1
	var fresh []logservice.Record
	for _, record := range records {
		if record.Offset == next {
			fresh = append(fresh, record)
			next++
		}
	}
	if len(fresh) > 0 {
		f.handler.Apply(fresh)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.offset = next - 1
		f.records = append(f.records, fresh...)
	}
	return len(fresh)
}

// Offset returns the offset of the last record passed to the handler.
func (f *Follower) Offset() structs.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.offset
}

// Since returns up to limit cached records after the given offset. It returns false if
// the next record is not cached.
func (f *Follower) Since(after structs.Offset, limit int) ([]logservice.Record, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.records) == 0 || after+1 < f.records[0].Offset || after >= f.offset {
		return nil, after == f.offset
	}
	records := f.records[after+1-f.records[0].Offset:]
	return records[:min(limit, len(records))], true
}

// Age returns the time since the start of the last read that reached the end of the log.
// Without one it returns the time since the follower was created, and false.
func (f *Follower) Age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.endReadAt.IsZero() {
		return time.Since(f.started), false
	}
	return time.Since(f.endReadAt), true
}
