package fleet

import (
	"context"
	"sync"
)

// inFlight keeps at most one append per key in flight.
type inFlight struct {
	mu      sync.Mutex
	cancels map[string]context.CancelFunc
	done    sync.WaitGroup
}

func newInFlight() *inFlight {
	return &inFlight{cancels: make(map[string]context.CancelFunc)}
}

// start runs work in the background. It returns false when work with the same key
// still runs.
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

// cancel ends the work with the key.
func (f *inFlight) cancel(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cancel := f.cancels[key]; cancel != nil {
		cancel()
	}
}

func (f *inFlight) wait() { f.done.Wait() }
