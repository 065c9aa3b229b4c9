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
	// defaultWait is how long one read waits for a record. A host must read to the end
	// of the log every 3 s to be current (docs/design.md, section 5.6), and the age
	// counts from the start of the read.
	defaultWait = time.Second
	// defaultBatch is how many records one read asks for.
	defaultBatch = 512
	// shortestWaitPart is the part of the wait that passes at least between empty reads.
	shortestWaitPart = 4
)

// FollowerOptions change how a Follower reads. The zero value is usable.
type FollowerOptions struct {
	// After is the offset up to which the handler already has the stream.
	After structs.Offset
	// Wait is how long one read waits for a record; 0 means 1 s.
	Wait time.Duration
	// Batch is how many records one read asks for; 0 means 512.
	Batch int
	// Keep is how many records are kept for peers; 0 means 1024. At most 4 MiB are kept.
	Keep int
}

// Follower hands the records of one stream in order to a handler. Records come
// from the log and from peers. It is safe for concurrent use.
type Follower struct {
	log     Log
	stream  string
	handler Handler
	logger  *event.Logger
	wait    time.Duration
	batch   int

	// applying is held while the handler is called. It is taken before mu.
	applying sync.Mutex

	mu       sync.Mutex
	offset   structs.Offset
	recent   recent
	readEnd  time.Time
	answered time.Time
	failing  time.Time
	started  time.Time
}

// NewFollower returns a follower of one stream. Run starts it.
func NewFollower(log Log, stream string, handler Handler, logger *event.Logger, options FollowerOptions) *Follower {
	f := &Follower{
		log:     log,
		stream:  stream,
		handler: handler,
		logger:  logger.With(event.Fields{"stream": stream}),
		wait:    options.Wait,
		batch:   options.Batch,
		offset:  options.After,
		recent:  recent{keep: options.Keep},
		started: time.Now(),
	}
	if f.wait <= 0 {
		f.wait = defaultWait
	}
	if f.batch <= 0 {
		f.batch = defaultBatch
	}
	if f.recent.keep <= 0 {
		f.recent.keep = defaultKeep
	}
	return f
}

// Run reads until ctx ends. Outages do not end it.
func (f *Follower) Run(ctx context.Context) {
	var pause backoff
	for ctx.Err() == nil {
		start := time.Now()
		batch, err := f.log.Read(ctx, f.stream, f.Offset(), f.batch, f.wait)
		switch {
		case err == nil:
			f.apply(batch.Records)
			f.noteRead(start, batch.End)
			pause.reset()
			if len(batch.Records) == 0 {
				f.fillWait(ctx, start)
			}
		case errors.Is(err, ErrTrimmed):
			f.trimmed(batch.First)
			f.noteRead(start, batch.End)
			pause.reset()
		case ctx.Err() != nil:
			return
		default:
			f.noteFailure(start, err)
			pause.pause(ctx)
		}
	}
}

// fillWait waits when the log answered an empty read at once instead of waiting,
// so that such a log is not read in a tight loop.
func (f *Follower) fillWait(ctx context.Context, start time.Time) {
	timer := time.NewTimer(f.wait/shortestWaitPart - time.Since(start))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Offer takes records that a peer forwarded and hands the contiguous next ones to
// the handler. It returns how many it handed over.
func (f *Follower) Offer(records []Record) int {
	return f.apply(records)
}

// apply hands over the records that follow on the current offset. Older records
// are passed over and a gap ends it.
func (f *Follower) apply(records []Record) int {
	f.applying.Lock()
	defer f.applying.Unlock()
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
	f.recent.add(fresh)
	return len(fresh)
}

// trimmed continues at the first record that the log keeps, unless records from
// peers have brought the follower there meanwhile.
func (f *Follower) trimmed(first structs.Offset) {
	f.applying.Lock()
	defer f.applying.Unlock()
	had := f.Offset()
	if first <= had+1 {
		return
	}
	f.logger.Log(event.LogTrimmed, event.Fields{"offset": had, "first": first})
	f.handler.Trimmed(first)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.offset = first - 1
	f.recent.reset()
}

// noteRead records an answer of the log to a read that began at start. The end may
// have grown while the answer travelled, so the age counts from the start.
func (f *Follower) noteRead(start time.Time, end structs.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered = time.Now()
	if f.offset >= end {
		f.readEnd = start
	}
	if !f.failing.IsZero() {
		f.logger.Log(event.LogAnswers, event.Fields{"outage_ms": time.Since(f.failing).Milliseconds()})
		f.failing = time.Time{}
	}
}

// noteFailure records that a read which began at start failed.
func (f *Follower) noteFailure(start time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing.IsZero() {
		f.logger.Log(event.LogUnreachable, event.Fields{"error": err.Error()})
		f.failing = start
	}
}

// Offset returns the offset of the last record that the handler has.
func (f *Follower) Offset() structs.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.offset
}

// Since returns up to limit records after the offset from memory, to forward them
// to a peer. It returns false when the next record is not kept any more.
func (f *Follower) Since(after structs.Offset, limit int) ([]Record, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.recent.since(after, f.offset, limit)
}

// Age returns the time since the start of the last read that reached the end of
// the log. Before the first one it counts from the creation of the follower and
// ok is false.
func (f *Follower) Age() (age time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.readEnd.IsZero() {
		return time.Since(f.started), false
	}
	return time.Since(f.readEnd), true
}

// Reachable reports whether the newest read that ended was answered by the log.
// It is false before the first answer.
func (f *Follower) Reachable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.answered.IsZero() && f.failing.IsZero()
}
