package logservice

import (
	"context"
	"errors"
	"sync"

	"github.com/samber/oops"

	"cowslipgw/internal/event"
	"cowslipgw/internal/structs"
)

const (
	// FleetAppendRate is the limit on the appends per second of all live hosts together
	// (docs/design.md, section 5.1).
	FleetAppendRate = 200
	// maxQueuedAppends bounds the appends that are queued or in flight in one Appender.
	maxQueuedAppends = 4096
	// minAppendRate is the lowest rate in appends per second. It keeps an appender working
	// if its rate is set to zero or less.
	minAppendRate = 0.1
)

// Appender appends records with retries, limited to this host's share of the append
// rate. Appends to one stream take effect in the order in which they were queued, because
// only one of them is in flight at a time. It is safe for concurrent use.
type Appender struct {
	log     Log
	logger  *event.Logger
	limiter *tokenBucket

	mu          sync.Mutex
	streamLocks map[string]chan struct{}
	queued      int
}

// NewAppender returns an appender with the append rate of a fleet of one host. SetHosts
// and SetRate change the rate.
func NewAppender(log Log, logger *event.Logger) *Appender {
	return &Appender{
		log:         log,
		logger:      logger,
		limiter:     newTokenBucket(FleetAppendRate),
		streamLocks: make(map[string]chan struct{}),
	}
}

// SetHosts sets the rate to an equal share of FleetAppendRate for the given number of live
// hosts.
func (a *Appender) SetHosts(live int) {
	a.SetRate(FleetAppendRate / float64(max(1, live)))
}

// SetRate sets the limit on append attempts per second over all streams.
func (a *Appender) SetRate(perSecond float64) {
	a.limiter.setRate(max(minAppendRate, perSecond))
}

// Append queues a record and returns its offset once the log confirms it. It retries with
// the same record ID until then, so the log may contain the record more than once. After
// ErrNotAppended and ErrRejected the record is not in the log, and after ErrUnavailable it
// may be. If ctx is done, its cause is joined to the error.
func (a *Appender) Append(ctx context.Context, stream, id string, data []byte) (structs.Offset, error) {
	lock, err := a.enqueue(stream)
	if err != nil {
		return 0, err
	}
	defer a.dequeue()
	// Goroutines blocked in a channel send proceed in FIFO order.
	select {
	case lock <- struct{}{}:
	case <-ctx.Done():
		return 0, a.contextError(ctx, stream, nil)
	}
	defer func() { <-lock }()
	return a.appendWithRetry(ctx, stream, id, data)
}

// appendWithRetry appends a record, with backoff between the attempts. The caller holds
// the lock of the stream.
func (a *Appender) appendWithRetry(ctx context.Context, stream, id string, data []byte) (structs.Offset, error) {
	var delay backoff
	var last error
	for {
		if !a.limiter.take(ctx) {
			return 0, a.contextError(ctx, stream, last)
		}
		offset, err := a.log.Append(ctx, stream, id, data)
		if err == nil {
			return offset, nil
		}
		if !errors.Is(err, ErrUnavailable) {
			a.logger.Log(event.LogRecordRejected, event.Fields{"stream": stream, "record": id, "error": err.Error()})
			return 0, err
		}
		last = err
		if !delay.wait(ctx) {
			return 0, a.contextError(ctx, stream, last)
		}
	}
}

// enqueue counts a queued append and returns the lock of the stream, a semaphore of
// capacity one.
func (a *Appender) enqueue(stream string) (chan struct{}, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queued >= maxQueuedAppends {
		return nil, oops.In("logservice").With("stream", stream).Wrap(errors.Join(ErrNotAppended, ErrQueueFull))
	}
	a.queued++
	lock := a.streamLocks[stream]
	if lock == nil {
		lock = make(chan struct{}, 1)
		a.streamLocks[stream] = lock
	}
	return lock, nil
}

// dequeue removes an append that has ended from the count.
func (a *Appender) dequeue() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queued--
}

// Queued returns the number of appends that are queued or in flight.
func (a *Appender) Queued() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queued
}

// contextError returns the error of an append whose ctx is done. last is the error of the
// last attempt, or nil if none was made.
func (a *Appender) contextError(ctx context.Context, stream string, last error) error {
	kind := ErrUnavailable
	if last == nil {
		kind = ErrNotAppended
	}
	return oops.In("logservice").With("stream", stream).Wrap(errors.Join(kind, context.Cause(ctx), last))
}
