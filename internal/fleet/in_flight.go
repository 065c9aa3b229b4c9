package fleet

import (
	"context"
	"sync"
)

// inFlight runs background tasks, such as appends, with at most one running task per
// key.
type inFlight struct {
	mu      sync.Mutex
	cancels map[string]context.CancelFunc
	done    sync.WaitGroup
}

func newInFlight() *inFlight {
	return &inFlight{cancels: make(map[string]context.CancelFunc)}
}

// start runs work in the background and bounds it by appendTimeout. It returns false,
// without running work, if a task with the same key is still running.
func (f *inFlight) start(ctx context.Context, key string, work func(context.Context)) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, running := f.cancels[key]; running {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	f.cancels[key] = cancel
	f.done.Go(func() {
		work(ctx)
		cancel()
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.cancels, key)
	})
	return true
}

// cancel cancels the context of the task with the given key, if one is running.
func (f *inFlight) cancel(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cancel := f.cancels[key]; cancel != nil {
		cancel()
	}
}

// wait blocks until all tasks have ended.
func (f *inFlight) wait() { f.done.Wait() }
