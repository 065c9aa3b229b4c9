package entry

import "sync"

// Retries are limited to a tenth of the calls, so that failing replicas do not
// multiply the load on the others. The reserve lets a quiet host retry, too.
const (
	retryShare   = 0.1
	retryReserve = 3
	retryCap     = 20
)

// retryBudget limits retries to a share of the calls.
type retryBudget struct {
	mu    sync.Mutex
	level float64
}

func newRetryBudget() *retryBudget {
	return &retryBudget{level: retryReserve}
}

// call counts one call.
func (b *retryBudget) call() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = min(b.level+retryShare, retryCap)
}

// take says whether one more retry is within the budget, and counts it.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}
