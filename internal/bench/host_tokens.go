package bench

import (
	"time"

	"cowslipgw/internal/account"
	"cowslipgw/internal/structs"
)

// hostTokens is the state of one account's rate limit at one host: granted tokens,
// unreported spends and waiting calls.
type hostTokens struct {
	limiter       *ownerLimiter
	host, account int
	id            structs.AccountID
	limit         accountLimit
	origin        structs.Origin

	granted        []tokenBatch
	spends         []tokenBatch
	returned       int64
	waiters        []*tokenWaiter
	requestPending bool
	requestSentAt  time.Duration
	// currentCount and previousCount are the admissions in the current and the
	// previous second.
	currentCount, previousCount int64
	windowStart                 time.Duration
}

// tokenBatch holds the tokens of one grant, or the tokens spent at one time.
type tokenBatch struct {
	tokens               int64
	requestedAt, arrived time.Duration
}

// tokenWaiter is a call that waits for the owner's answer.
type tokenWaiter struct {
	waitingSince time.Duration
	requested    bool
	onDecision   func(bool, time.Duration)
}

func (t *hostTokens) now() time.Duration { return t.limiter.cluster.sim.now }

// reportsImmediately reports whether spent tokens are reported to the owner at once.
func (t *hostTokens) reportsImmediately() bool {
	return t.limit.burst <= smallBurst || float64(t.limit.burst) < 2*t.limit.rate*reportDelay.Seconds()
}

// admit admits a call with a granted token, or requests one from the owner.
func (t *hostTokens) admit(onDecision func(bool, time.Duration)) {
	t.rotateWindow()
	if len(t.waiters) == 0 && t.spendToken() {
		if t.reportsImmediately() || t.available() < t.demand()/4 {
			t.sendRequest()
		}
		onDecision(true, 0)
		return
	}
	t.waiters = append(t.waiters, &tokenWaiter{waitingSince: t.now(), onDecision: onDecision})
	t.sendRequest()
}

// spendToken spends one granted token that has not expired and reports whether there
// was one.
func (t *hostTokens) spendToken() bool {
	for i := range t.granted {
		batch := &t.granted[i]
		if batch.tokens > 0 && t.now()-batch.requestedAt < account.GrantLifetime {
			batch.tokens--
			t.currentCount++
			t.spends = append(t.spends, tokenBatch{tokens: 1, arrived: t.now()})
			return true
		}
	}
	return false
}

// available returns the number of granted tokens that have not expired.
func (t *hostTokens) available() int64 {
	total := int64(0)
	for _, batch := range t.granted {
		if t.now()-batch.requestedAt < account.GrantLifetime {
			total += batch.tokens
		}
	}
	return total
}

func (t *hostTokens) rotateWindow() {
	switch age := t.now() - t.windowStart; {
	case age >= 2*time.Second:
		t.previousCount, t.currentCount, t.windowStart = 0, 0, t.now()
	case age >= time.Second:
		t.previousCount, t.currentCount, t.windowStart = t.currentCount, 0, t.now()
	}
}

// demand returns the larger of the two admission counts.
func (t *hostTokens) demand() int64 { return max(t.previousCount, t.currentCount) }

// sendRequest sends a request to the owner unless one is pending.
func (t *hostTokens) sendRequest() {
	if t.requestPending {
		return
	}
	t.requestPending = true
	t.requestSentAt = t.now()
	t.limiter.seq++
	request := account.GrantRequest{
		Account: t.id, Origin: t.origin, Seq: t.limiter.seq, Returned: t.returned,
		Rate: t.limit.rate, Burst: t.limit.burst,
	}
	for _, w := range t.waiters {
		w.requested = true
		request.Need++
	}
	request.Want = request.Need
	if !t.reportsImmediately() {
		request.Want += max(0, t.demand()-t.available())
	}
	for _, spent := range t.spends {
		request.Spent += spent.tokens
		request.Spends = append(request.Spends, account.Spend{Tokens: spent.tokens, Age: t.now() - spent.arrived})
	}
	t.spends, t.returned = nil, 0
	t.limiter.cluster.sim.after(t.limiter.cluster.deployment.HostDelay, func() {
		t.limiter.decide(t.account, request, func(result account.GrantResult) { t.handleResult(request, result) })
	})
}

// handleResult processes the owner's answer: it stores the grant and decides on the
// waiting calls.
func (t *hostTokens) handleResult(request account.GrantRequest, result account.GrantResult) {
	t.requestPending = false
	if t.limiter.cluster.hosts[t.host].dead {
		for _, w := range t.waiters {
			w.onDecision(false, 0)
		}
		t.waiters = nil
		return
	}
	if result.Granted > 0 {
		t.granted = append(t.granted, tokenBatch{tokens: result.Granted, requestedAt: t.requestSentAt, arrived: t.now()})
	}
	interval := time.Duration(float64(time.Second) / t.limit.rate)
	retryAfter := result.RetryAfter - time.Duration(request.Need-result.Granted-1)*interval
	waiting := t.waiters
	t.waiters = nil
	for _, w := range waiting {
		if t.spendToken() {
			w.onDecision(true, 0)
			continue
		}
		if !w.requested || t.mayRetry(w, result, retryAfter) {
			w.requested = false
			t.waiters = append(t.waiters, w)
			retryAfter += interval
			continue
		}
		w.onDecision(false, max(retryAfter, 100*time.Millisecond))
	}
	if len(t.waiters) > 0 {
		pause := time.Duration(0)
		if result.Granted == 0 {
			pause = min(result.RetryAfter, unsettledRetryDelay)
		}
		t.limiter.cluster.sim.after(pause, t.sendRequest)
	}
}

// mayRetry reports whether a call that got no token may wait for another request.
func (t *hostTokens) mayRetry(w *tokenWaiter, result account.GrantResult, retryAfter time.Duration) bool {
	waited := t.now() - w.waitingSince
	if waited < 2*shortageGrace && retryAfter <= shortageGrace {
		return true
	}
	return waited < maxUnsettledWait && result.Unsettled > 0
}

// tick returns unused tokens and reports overdue spends.
func (t *hostTokens) tick() {
	kept := t.granted[:0]
	for _, batch := range t.granted {
		if t.now()-batch.arrived >= unusedTokenTTL || t.now()-batch.requestedAt >= account.GrantLifetime {
			t.returned += batch.tokens
		} else if batch.tokens > 0 {
			kept = append(kept, batch)
		}
	}
	t.granted = kept
	overdue := len(t.spends) > 0 && (t.reportsImmediately() || t.now()-t.spends[0].arrived >= reportDelay)
	if t.returned > 0 || overdue {
		t.sendRequest()
	}
}
