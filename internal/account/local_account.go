package account

import (
	"time"

	"cowslipgw/internal/structs"
)

// spendResolution is the minimum time between spendings that are reported
// separately. A coarser resolution loses refill: the rate times this duration.
const spendResolution = 10 * time.Millisecond

// maxSpends bounds the number of separate spendings in one report.
const maxSpends = 128

// timedSpend counts the tokens spent within one spendResolution.
type timedSpend struct {
	tokens int64
	// at is the time of the latest spending, so that ages are never overstated.
	// first is the time of the earliest.
	first, at time.Time
}

// localAccount is this host's state for one account. It is guarded by the limiter's
// lock.
type localAccount struct {
	id structs.AccountID
	// origin is the incarnation to which the tokens were granted.
	origin  structs.Origin
	batches tokenBatches
	// spends and returned are not yet reported. A request that is built moves them
	// into pending.
	spends   []timedSpend
	returned int64
	// pending is the request that was sent and not yet answered.
	pending    *GrantRequest
	sentAt     time.Time
	requesting bool
	waiters    []*waiter
	// currentCount and previousCount are the admissions in the current and in the
	// previous second. They measure the demand.
	currentCount, previousCount int64
	windowStart                 time.Time
	lastResult                  GrantResult
	lastUsed                    time.Time
	// retryAt is the earliest time for the next report after the owner did not
	// answer.
	retryAt time.Time
}

// waiter is a Take that waits for a token.
type waiter struct {
	since time.Time
	// requested is set if the request in flight covers this waiter.
	requested bool
	result    chan takeResult
}

// takeResult is the result delivered to a waiter.
type takeResult struct {
	allowed bool
	retry   time.Duration
	err     error
}

// spend takes a token if one is available.
func (l *localAccount) spend(now time.Time) bool {
	if !l.batches.take(now) {
		return false
	}
	l.recordSpend(now)
	return true
}

// recordSpend records that a token was spent.
func (l *localAccount) recordSpend(now time.Time) {
	l.lastUsed = now
	l.currentCount++
	if n := len(l.spends); n > 0 && (now.Sub(l.spends[n-1].first) < spendResolution || n >= maxSpends) {
		l.spends[n-1].tokens++
		l.spends[n-1].at = now
		return
	}
	l.spends = append(l.spends, timedSpend{tokens: 1, first: now, at: now})
}

// demand returns the recent demand in tokens per second.
func (l *localAccount) demand(now time.Time) int64 {
	switch age := now.Sub(l.windowStart); {
	case age >= 2*time.Second:
		l.previousCount, l.currentCount, l.windowStart = 0, 0, now
	case age >= time.Second:
		l.previousCount, l.currentCount, l.windowStart = l.currentCount, 0, now
	}
	return max(l.previousCount, l.currentCount)
}

// request builds the next request, or returns the pending one. It marks the waiters
// that the request covers.
func (l *localAccount) request(origin structs.Origin, seq uint64, limits Limits, now time.Time) GrantRequest {
	if l.origin != origin {
		l.resetIncarnation(origin)
	}
	if l.pending != nil {
		return *l.pending
	}
	req := GrantRequest{
		Account: l.id, Origin: origin, Seq: seq, Returned: l.returned, Rate: limits.Rate, Burst: limits.Burst,
	}
	for _, w := range l.waiters {
		w.requested = true
		req.Need++
	}
	req.Want = req.Need
	if !limits.reportsImmediately() {
		req.Want += max(0, l.demand(now)-l.batches.count(now))
	}
	for _, s := range l.spends {
		req.Spent += s.tokens
		req.Spends = append(req.Spends, Spend{Tokens: s.tokens, Age: now.Sub(s.at)})
	}
	l.spends = nil
	l.returned = 0
	l.pending = &req
	l.sentAt = now
	return req
}

// resetIncarnation drops the tokens that were granted to an earlier incarnation of
// this host. The owner counts them as spent, and reports on them must not be applied
// to tokens of the current incarnation.
func (l *localAccount) resetIncarnation(origin structs.Origin) {
	l.origin = origin
	l.batches = nil
	l.spends = nil
	l.returned = 0
	l.pending = nil
}

// applyGrant applies the reply to the pending request and serves the waiters.
func (l *localAccount) applyGrant(result GrantResult, now time.Time) {
	req := *l.pending
	l.pending = nil
	l.lastResult = result
	if result.Granted > 0 {
		l.batches = append(l.batches, tokenBatch{tokens: result.Granted, requestedAt: l.sentAt, receivedAt: now})
	}
	between := time.Duration(float64(time.Second) / req.Rate)
	// RetryAfter is the time until all needed tokens are available. The first of
	// them is available earlier.
	due := result.RetryAfter - time.Duration(req.Need-result.Granted-1)*between
	var waiting []*waiter
	for _, w := range l.waiters {
		switch {
		case l.spend(now):
			w.result <- takeResult{allowed: true}
		case !w.requested || w.mayRetry(result, due, now):
			w.requested = false
			waiting = append(waiting, w)
			due += between
		default:
			w.result <- takeResult{retry: max(due, minRetryAfter)}
		}
	}
	l.waiters = waiting
}

// mayRetry reports whether a waiter that got no token may wait for another request:
// for a short time if its token is due shortly, and longer while other hosts may
// return or report tokens.
func (w *waiter) mayRetry(result GrantResult, due time.Duration, now time.Time) bool {
	waited := now.Sub(w.since)
	if waited < 2*shortageGrace && due <= shortageGrace {
		return true
	}
	return waited < maxUnsettledWait && result.Unsettled > 0
}

// failWaiters ends all waiters with an error.
func (l *localAccount) failWaiters(err error) {
	for _, w := range l.waiters {
		w.result <- takeResult{err: err}
	}
	l.waiters = nil
}

// removeWaiter removes a waiter whose caller has given up.
func (l *localAccount) removeWaiter(target *waiter) {
	for i, w := range l.waiters {
		if w == target {
			l.waiters = append(l.waiters[:i:i], l.waiters[i+1:]...)
			return
		}
	}
}

// reportDue reports whether a request must be sent to the owner to report returned
// or spent tokens or to retry the pending one.
func (l *localAccount) reportDue(now time.Time, limits Limits) bool {
	if l.requesting || now.Before(l.retryAt) {
		return false
	}
	if l.pending != nil || l.returned > 0 {
		return true
	}
	return len(l.spends) > 0 && (limits.reportsImmediately() || now.Sub(l.spends[0].first) >= reportDelay)
}
