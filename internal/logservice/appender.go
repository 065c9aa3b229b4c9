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
	// FleetAppends is how many appends a second all live hosts together may make
	// (docs/design.md, section 5.1).
	FleetAppends = 200
	// maxQueued bounds the appends that wait in one Appender.
	maxQueued = 4096
	// lowestRate keeps an appender going when its share is set to zero or less.
	lowestRate = 0.1
)

// Appender appends records with retries and within this host's share of the
// log's rate. Appends to one stream take effect in the order in which they were
// queued, since only one of them is in flight. It is safe for concurrent use.
type Appender struct {
	log    Log
	logger *event.Logger
	limit  *bucket

	mu     sync.Mutex
	turns  map[string]chan struct{}
	queued int
}

// NewAppender returns an appender with the share of a fleet of one host. SetHosts
// changes the share.
func NewAppender(log Log, logger *event.Logger) *Appender {
	return &Appender{
		log:    log,
		logger: logger,
		limit:  newBucket(FleetAppends),
		turns:  make(map[string]chan struct{}),
	}
}

// SetHosts sets the share to that of one host out of the given number of live ones.
func (a *Appender) SetHosts(live int) {
	a.SetRate(FleetAppends / float64(max(1, live)))
}

// SetRate sets the attempts per second over all streams.
func (a *Appender) SetRate(perSecond float64) {
	a.limit.setRate(max(lowestRate, perSecond))
}

// Append queues a record and returns its offset when it is in the log. It retries
// with the same ID until then, so the record may be in the log more than once.
// Errors are ErrNotAppended and ErrRejected (not in the log) and ErrUnavailable (may
// be in the log). When ctx ended, its error is joined.
func (a *Appender) Append(ctx context.Context, stream, id string, data []byte) (structs.Offset, error) {
	turn, err := a.enter(stream)
	if err != nil {
		return 0, err
	}
	defer a.leave()
	// Goroutines that wait to send on a channel are served in order of arrival.
	select {
	case turn <- struct{}{}:
	case <-ctx.Done():
		return 0, a.giveUp(ctx, stream, nil)
	}
	defer func() { <-turn }()
	return a.appendInTurn(ctx, stream, id, data)
}

func (a *Appender) appendInTurn(ctx context.Context, stream, id string, data []byte) (structs.Offset, error) {
	var wait backoff
	var last error
	for {
		if !a.limit.take(ctx) {
			return 0, a.giveUp(ctx, stream, last)
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
		if !wait.pause(ctx) {
			return 0, a.giveUp(ctx, stream, last)
		}
	}
}

// enter counts one more queued append and returns the stream's turn.
func (a *Appender) enter(stream string) (chan struct{}, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.queued >= maxQueued {
		return nil, oops.In("logservice").With("stream", stream).Wrap(errors.Join(ErrNotAppended, ErrQueueFull))
	}
	a.queued++
	turn := a.turns[stream]
	if turn == nil {
		turn = make(chan struct{}, 1)
		a.turns[stream] = turn
	}
	return turn, nil
}

func (a *Appender) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queued--
}

// Queued returns how many appends wait or are in flight.
func (a *Appender) Queued() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queued
}

// giveUp returns the error of an append whose ctx ended; last is that of the last
// attempt, nil when none was made.
func (a *Appender) giveUp(ctx context.Context, stream string, last error) error {
	kind := ErrUnavailable
	if last == nil {
		kind = ErrNotAppended
	}
	return oops.In("logservice").With("stream", stream).Wrap(errors.Join(kind, context.Cause(ctx), last))
}
