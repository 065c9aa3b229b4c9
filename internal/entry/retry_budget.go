package entry

import "sync"

// Retries are limited to a tenth of the calls, so that failing replicas do not multiply
// the load on the others. The initial reserve allows retries on a host with little
// traffic, too.
const (
	retryRatio   = 0.1
	retryReserve = 3
	retryCap     = 20
)

// retryBudget is a token bucket that limits retries to a share of the calls.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget {
	return &retryBudget{tokens: retryReserve}
}

// addCall adds the share of one call to the budget.
func (b *retryBudget) addCall() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+retryRatio, retryCap)
}

// take reports whether one more retry is within the budget, and if so charges it.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
