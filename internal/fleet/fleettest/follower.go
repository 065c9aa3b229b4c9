package fleettest

import (
	"context"
	"errors"
	"sync"
	"time"

	"cowslipgw/internal/logservice"
	"cowslipgw/internal/structs"
)

// handler receives the records of a stream, as logservice.Handler does.
type handler interface {
	Apply(records []logservice.Record)
	Trimmed(first structs.Offset)
}

// Follower follows one stream for one host.
type Follower struct {
	log     *Log
	host    structs.HostID
	stream  string
	handler handler

	applying sync.Mutex
	mu       sync.Mutex
	offset   structs.Offset
	kept     []logservice.Record
	readEnd  time.Time
	started  time.Time
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
			f.noteEnd(start, batch.End)
		case errors.Is(err, logservice.ErrTrimmed):
			f.trimmed(batch.First)
		default:
			f.log.awaitChange(ctx, outageWait)
		}
	}
}

func (f *Follower) noteEnd(start time.Time, end structs.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.offset >= end {
		f.readEnd = start
	}
}

func (f *Follower) trimmed(first structs.Offset) {
	f.applying.Lock()
	defer f.applying.Unlock()
	if first <= f.Offset()+1 {
		return
	}
	f.handler.Trimmed(first)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.offset = first - 1
	f.kept = nil
}

// Offer hands the next records over.
func (f *Follower) Offer(records []logservice.Record) int {
	f.applying.Lock()
	defer f.applying.Unlock()
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
		f.kept = append(f.kept, fresh...)
	}
	return len(fresh)
}

// Offset is the offset of the last record handed over.
func (f *Follower) Offset() structs.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.offset
}

// Since returns records for a peer.
func (f *Follower) Since(after structs.Offset, limit int) ([]logservice.Record, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.kept) == 0 || after+1 < f.kept[0].Offset || after >= f.offset {
		return nil, after == f.offset
	}
	records := f.kept[after+1-f.kept[0].Offset:]
	return records[:min(limit, len(records))], true
}

// Age is the time since the last read to the end.
func (f *Follower) Age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.readEnd.IsZero() {
		return time.Since(f.started), false
	}
	return time.Since(f.readEnd), true
}
