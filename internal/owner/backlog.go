package owner

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// backlogLimit bounds the number of queued settlements. A longer queue means that
	// most owners have been unavailable for a long time; the oldest settlements are
	// then dropped.
	backlogLimit = 10_000
	// backlogAttemptTimeout bounds one attempt of a queued settlement.
	backlogAttemptTimeout = 10 * time.Second
	// backlogInterval is the time between two rounds of retries.
	backlogInterval = time.Second
	// backlogWorkers is how many settlements are retried concurrently.
	backlogWorkers = 16
)

// backlog retries settlements of calls, and closes of claims, whose caller's deadline
// passed before an owner accepted them. It is safe for concurrent use.
type backlog struct {
	mu       sync.Mutex
	queued   []func(context.Context) error
	inFlight int
}

func newBacklog() *backlog {
	return &backlog{}
}

// attempt runs a settlement and queues it for a retry if no owner accepted it in time.
func (b *backlog) attempt(ctx context.Context, settle func(context.Context) error) error {
	err := settle(ctx)
	if err == nil || errors.Is(err, ErrRejected) {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queued = append(b.queued, settle)
	if len(b.queued) > backlogLimit {
		b.queued = b.queued[1:]
	}
	return err
}

// size returns the number of settlements that are queued or being retried.
func (b *backlog) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queued) + b.inFlight
}

// run retries queued settlements until ctx ends.
func (b *backlog) run(ctx context.Context) {
	ticker := time.NewTicker(backlogInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.retryAll(ctx)
		}
	}
}

// retryAll retries each queued settlement once.
func (b *backlog) retryAll(ctx context.Context) {
	b.mu.Lock()
	tasks := b.queued
	b.queued = nil
	b.inFlight = len(tasks)
	b.mu.Unlock()
	if len(tasks) == 0 {
		return
	}
	queue := make(chan func(context.Context) error)
	var workers sync.WaitGroup
	for range min(backlogWorkers, len(tasks)) {
		workers.Go(func() {
			for task := range queue {
				b.retry(ctx, task)
			}
		})
	}
	for _, task := range tasks {
		queue <- task
	}
	close(queue)
	workers.Wait()
}

func (b *backlog) retry(ctx context.Context, task func(context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, backlogAttemptTimeout)
	defer cancel()
	_ = b.attempt(ctx, task)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight--
}
