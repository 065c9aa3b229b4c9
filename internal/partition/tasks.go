package partition

import "sync"

// taskGroup tracks background goroutines, so that shutdown waits for them and none
// starts afterwards.
type taskGroup struct {
	mu     sync.Mutex
	closed bool
	group  sync.WaitGroup
}

// start runs work in a new goroutine. It returns false after close.
func (t *taskGroup) start(work func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.group.Go(work)
	return true
}

// close rejects further work and waits for the running goroutines.
func (t *taskGroup) close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.group.Wait()
}
