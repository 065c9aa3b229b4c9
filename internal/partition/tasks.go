package partition

import "sync"

// tasks counts goroutines, so that the end of the manager waits for them and none
// starts afterwards.
type tasks struct {
	mu     sync.Mutex
	closed bool
	group  sync.WaitGroup
}

// start runs work in the background. It returns false after close.
func (t *tasks) start(work func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.group.Go(work)
	return true
}

// close waits for all work.
func (t *tasks) close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.group.Wait()
}
