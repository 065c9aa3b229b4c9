package owner

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// backlogLimit bounds the settlements that wait. More than that means that most
	// owners are gone for long; the oldest are given up then.
	backlogLimit = 10_000
	// backlogTry bounds one more try of a settlement.
	backlogTry = 10 * time.Second
	// backlogPause is the time between two rounds of tries.
	backlogPause = time.Second
	// backlogWorkers is how many settlements are tried at the same time.
	backlogWorkers = 16
)

// backlog repeats settlements whose caller's time ended before an owner took them. It
// is safe for concurrent use.
type backlog struct {
	mu      sync.Mutex
	waiting []func(context.Context) error
	trying  int
}

func newBacklog() *backlog {
	return &backlog{}
}

// try runs a settlement and keeps it for later if no owner took it in time.
func (b *backlog) try(ctx context.Context, settle func(context.Context) error) error {
	err := settle(ctx)
	if err == nil || errors.Is(err, ErrRejected) {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(b.waiting, settle)
	if len(b.waiting) > backlogLimit {
		b.waiting = b.waiting[1:]
	}
	return err
}

func (b *backlog) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting) + b.trying
}

// run repeats what waits until ctx ends.
func (b *backlog) run(ctx context.Context) {
	ticker := time.NewTicker(backlogPause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.round(ctx)
		}
	}
}

// round tries each waiting settlement once.
func (b *backlog) round(ctx context.Context) {
	b.mu.Lock()
	tasks := b.waiting
	b.waiting = nil
	b.trying = len(tasks)
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
	ctx, cancel := context.WithTimeout(ctx, backlogTry)
	defer cancel()
	_ = b.try(ctx, task)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.trying--
}
