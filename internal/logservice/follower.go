package logservice

import (
	"context"
	"errors"
	"sync"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/structs"
)

const (
	// defaultWait is the long-poll time of a read. A host must read to the end of the log
	// every 3 s to be current (docs/design.md, section 5.6), and the age counts from the
	// start of the read.
	defaultWait = time.Second
	// defaultBatch is the default limit on the records of one read.
	defaultBatch = 512
	// minWaitDivisor bounds the rate of empty reads: an empty read takes at least
	// wait/minWaitDivisor.
	minWaitDivisor = 4
)

// FollowerOptions configures a Follower. The zero value selects the defaults.
type FollowerOptions struct {
	// After is the offset of the last record that the handler already has.
	After structs.Offset
	// Wait is how long one read waits for a record. 0 means 1 s.
	Wait time.Duration
	// Batch is the maximum number of records of one read. 0 means 512.
	Batch int
	// CachedRecords is the maximum number of records cached for peers. 0 means 1024. Their
	// data is also limited to 4 MiB.
	CachedRecords int
}

// Follower passes the records of one stream to a handler, in order and each offset once.
// The records come from the log and from peers. It is safe for concurrent use.
type Follower struct {
	log     Log
	stream  string
	handler Handler
	logger  *event.Logger
	wait    time.Duration
	batch   int

	// applyMu is held while the handler is called. It is locked before mu.
	applyMu sync.Mutex

	mu           sync.Mutex
	offset       structs.Offset
	cache        recordCache
	endReadAt    time.Time
	answeredAt   time.Time
	failingSince time.Time
	started      time.Time
}

// NewFollower returns a follower of one stream. It reads nothing until Run is called.
func NewFollower(log Log, stream string, handler Handler, logger *event.Logger, options FollowerOptions) *Follower {
	f := &Follower{
		log:     log,
		stream:  stream,
		handler: handler,
		logger:  logger.With(event.Fields{"stream": stream}),
		wait:    options.Wait,
		batch:   options.Batch,
		offset:  options.After,
		cache:   recordCache{maxRecords: options.CachedRecords},
		started: time.Now(),
	}
	if f.wait <= 0 {
		f.wait = defaultWait
	}
	if f.batch <= 0 {
		f.batch = defaultBatch
	}
	if f.cache.maxRecords <= 0 {
		f.cache.maxRecords = defaultCachedRecords
	}
	return f
}

// Run reads the stream until ctx is done. It retries failed reads with backoff.
func (f *Follower) Run(ctx context.Context) {
	var delay backoff
	for ctx.Err() == nil {
		start := time.Now()
		batch, err := f.log.Read(ctx, f.stream, f.Offset(), f.batch, f.wait)
		switch {
		case err == nil:
			f.apply(batch.Records)
			f.recordRead(start, batch.End)
			delay.reset()
			if len(batch.Records) == 0 {
				f.paceEmptyReads(ctx, start)
			}
		case errors.Is(err, ErrTrimmed):
			f.trimmed(batch.First)
			f.recordRead(start, batch.End)
			delay.reset()
		case ctx.Err() != nil:
			return
		default:
			f.recordFailure(start, err)
			delay.wait(ctx)
		}
	}
}

// paceEmptyReads delays the read that follows an empty one. It prevents a busy loop if
// the log answers empty reads at once instead of waiting for a record.
func (f *Follower) paceEmptyReads(ctx context.Context, start time.Time) {
	timer := time.NewTimer(f.wait/minWaitDivisor - time.Since(start))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Offer passes records that a peer forwarded to the handler, as far as they directly
// follow the current offset. It returns how many it passed.
func (f *Follower) Offer(records []Record) int {
	return f.apply(records)
}

// apply passes the records that directly follow the current offset to the handler. It
// skips older records and stops at a gap.
func (f *Follower) apply(records []Record) int {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	next := f.Offset() + 1
	var fresh []Record
	for _, record := range records {
		if record.Offset > next {
			break
		}
		if record.Offset == next {
			fresh = append(fresh, record)
			next++
		}
	}
	if len(fresh) == 0 {
		return 0
	}
	f.handler.Apply(fresh)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.offset = next - 1
	f.cache.add(fresh)
	return len(fresh)
}

// trimmed moves the follower to the first record that the log retains, unless records
// from peers have already taken it that far.
func (f *Follower) trimmed(first structs.Offset) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	had := f.Offset()
	if first <= had+1 {
		return
	}
	f.logger.Log(event.LogTrimmed, event.Fields{"offset": had, "first": first})
	f.handler.Trimmed(first)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.offset = first - 1
	f.cache.reset()
}

// recordRead records a successful read that began at start. The age counts from start,
// because the log may have grown while the answer was in transit.
func (f *Follower) recordRead(start time.Time, end structs.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answeredAt = time.Now()
	if f.offset >= end {
		f.endReadAt = start
	}
	if !f.failingSince.IsZero() {
		f.logger.Log(event.LogRecovered, event.Fields{"outage_ms": time.Since(f.failingSince).Milliseconds()})
		f.failingSince = time.Time{}
	}
}

// recordFailure records a failed read that began at start.
func (f *Follower) recordFailure(start time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failingSince.IsZero() {
		f.logger.Log(event.LogUnreachable, event.Fields{"error": err.Error()})
		f.failingSince = start
	}
}

// Offset returns the offset of the last record passed to the handler.
func (f *Follower) Offset() structs.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.offset
}

// Since returns up to limit cached records after the given offset, to forward them to a
// peer. It returns false if the next record is no longer cached.
func (f *Follower) Since(after structs.Offset, limit int) ([]Record, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cache.since(after, f.offset, limit)
}

// Age returns the time since the start of the last read that reached the end of the log.
// Before the first such read, age counts from the creation of the follower and ok is
// false.
func (f *Follower) Age() (age time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.endReadAt.IsZero() {
		return time.Since(f.started), false
	}
	return time.Since(f.endReadAt), true
}

// Reachable reports whether the log answered the last completed read. It returns false
// before the first answer.
func (f *Follower) Reachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.answeredAt.IsZero() && f.failingSince.IsZero()
}
