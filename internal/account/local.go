package account

import (
	"time"

	"cowslipgw/internal/structs"
)

// spendGrain is how far apart two spendings must be to be reported separately. The
// refill that a coarser report loses is the rate times this.
const spendGrain = 10 * time.Millisecond

// maxSpends limits the separate spendings in one report.
const maxSpends = 128

// timedSpend are tokens that were spent from one time on, within spendGrain.
type timedSpend struct {
	tokens int64
	// at is the time of the latest, so that no age is overstated.
	first, at time.Time
}

// local is what a host knows about one account. The limiter's lock guards it.
type local struct {
	id structs.AccountID
	// origin is the incarnation that the tokens were granted to.
	origin structs.Origin
	lots   lots
	// spends and returned are not yet reported, or are part of pending.
	spends   []timedSpend
	returned int64
	// pending is the request that was sent and has no answer yet.
	pending *GrantRequest
	sent    time.Time
	asking  bool
	waiters []*waiter
	// recent and previous count admissions in this and the last second, as demand.
	recent, previous int64
	second           time.Time
	last             GrantResult
	used             time.Time
	// retryAt delays reports after the owner did not answer.
	retryAt time.Time
}

// waiter is one Take that waits for a token.
type waiter struct {
	since time.Time
	// asked says that the request in flight includes it.
	asked  bool
	answer chan takeAnswer
}

// takeAnswer ends a waiter.
type takeAnswer struct {
	allowed bool
	retry   time.Duration
	err     error
}

// spend takes a token if there is one.
func (l *local) spend(now time.Time) bool {
	if !l.lots.take(now) {
		return false
	}
	l.note(now)
	return true
}

// note records that a token was spent.
func (l *local) note(now time.Time) {
	l.used = now
	l.recent++
	if n := len(l.spends); n > 0 && (now.Sub(l.spends[n-1].first) < spendGrain || n >= maxSpends) {
		l.spends[n-1].tokens++
		l.spends[n-1].at = now
		return
	}
	l.spends = append(l.spends, timedSpend{tokens: 1, first: now, at: now})
}

// demand returns how many tokens a second were used of late.
func (l *local) demand(now time.Time) int64 {
	switch age := now.Sub(l.second); {
	case age >= 2*time.Second:
		l.previous, l.recent, l.second = 0, 0, now
	case age >= time.Second:
		l.previous, l.recent, l.second = l.recent, 0, now
	}
	return max(l.previous, l.recent)
}

// request builds the next request, or returns the one that has no answer yet. The
// waiters that it speaks for are marked.
func (l *local) request(origin structs.Origin, seq uint64, limits Limits, now time.Time) GrantRequest {
	if l.origin != origin {
		l.rejoin(origin)
	}
	if l.pending != nil {
		return *l.pending
	}
	req := GrantRequest{
		Account: l.id, Origin: origin, Seq: seq, Returned: l.returned, Rate: limits.Rate, Burst: limits.Burst,
	}
	for _, w := range l.waiters {
		w.asked = true
		req.Need++
	}
	req.Want = req.Need
	if !limits.prompt() {
		req.Want += max(0, l.demand(now)-l.lots.count(now))
	}
	for _, s := range l.spends {
		req.Spent += s.tokens
		req.Spends = append(req.Spends, Spend{Tokens: s.tokens, Age: now.Sub(s.at)})
	}
	l.spends = nil
	l.returned = 0
	l.pending = &req
	l.sent = now
	return req
}

// rejoin drops what an earlier incarnation of this host was granted. The owner counts
// those tokens as spent, and reports on them must not be taken for the new ones.
func (l *local) rejoin(origin structs.Origin) {
	l.origin = origin
	l.lots = nil
	l.spends = nil
	l.returned = 0
	l.pending = nil
}

// settle takes over the answer to the pending request and serves the waiters.
func (l *local) settle(result GrantResult, now time.Time) {
	asked := *l.pending
	l.pending = nil
	l.last = result
	if result.Granted > 0 {
		l.lots = append(l.lots, lot{tokens: result.Granted, sent: l.sent, received: now})
	}
	between := time.Duration(float64(time.Second) / asked.Rate)
	// RetryAfter is when all that was needed would be there; the first is due earlier.
	due := result.RetryAfter - time.Duration(asked.Need-result.Granted-1)*between
	var waiting []*waiter
	for _, w := range l.waiters {
		switch {
		case l.spend(now):
			w.answer <- takeAnswer{allowed: true}
		case !w.asked || w.mayHold(result, due, now):
			w.asked = false
			waiting = append(waiting, w)
			due += between
		default:
			w.answer <- takeAnswer{retry: max(due, minRetry)}
		}
	}
	l.waiters = waiting
}

// mayHold reports whether a waiter that is short of tokens may ask again: for a while if
// its token is due at once, and longer while other hosts may return or report tokens.
func (w *waiter) mayHold(result GrantResult, due time.Duration, now time.Time) bool {
	waited := now.Sub(w.since)
	if waited < 2*shortWait && due <= shortWait {
		return true
	}
	return waited < maxHold && result.Unsettled > 0
}

// fail ends all waiters with an error.
func (l *local) fail(err error) {
	for _, w := range l.waiters {
		w.answer <- takeAnswer{err: err}
	}
	l.waiters = nil
}

// leave removes a waiter whose caller has gone.
func (l *local) leave(gone *waiter) {
	for i, w := range l.waiters {
		if w == gone {
			l.waiters = append(l.waiters[:i:i], l.waiters[i+1:]...)
			return
		}
	}
}

// due reports whether the owner should hear of returned or spent tokens.
func (l *local) due(now time.Time, limits Limits) bool {
	if l.asking || now.Before(l.retryAt) {
		return false
	}
	if l.pending != nil || l.returned > 0 {
		return true
	}
	return len(l.spends) > 0 && (limits.prompt() || now.Sub(l.spends[0].first) >= reportDelay)
}
