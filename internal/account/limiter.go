package account

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"cowslipgw/internal/structs"
)

const (
	// unusedTokenTTL is how long a host keeps an unused token before it returns it.
	unusedTokenTTL = time.Second
	// reportDelay is how long spent tokens may remain unreported.
	reportDelay = time.Second
	// smallBurst is the burst up to which spent tokens are reported immediately and
	// none are prefetched, because a few unreported tokens would be a large part of
	// the burst.
	smallBurst = 64
	// sweepInterval is the interval at which unused tokens are returned and due
	// reports are sent.
	sweepInterval = 50 * time.Millisecond
	// minRetryAfter is the minimum retry delay returned to a refused caller.
	minRetryAfter = 100 * time.Millisecond
	// shortageGrace is the longest shortage that a request waits out instead of
	// being refused. The bucket lags by the time that reports of spent tokens take
	// to arrive, which is a few round trips.
	shortageGrace = 25 * time.Millisecond
	// unsettledRetryDelay is the delay between two grant requests while tokens are
	// unsettled.
	unsettledRetryDelay = 25 * time.Millisecond
	// maxUnsettledWait bounds the time that a request waits for unsettled tokens.
	// Other hosts report or return theirs within reportDelay or unusedTokenTTL plus
	// one sweepInterval.
	maxUnsettledWait = 1500 * time.Millisecond
	// maxWaiters bounds the waiting requests per account at one host.
	maxWaiters = 512
	// grantTimeout bounds one request to the owner. Moving the owner's partition can
	// take up to 5 s.
	grantTimeout = 6 * time.Second
	// reportRetryDelay is the delay before an unanswered report is retried.
	reportRetryDelay = 500 * time.Millisecond
	// idleAccountTTL is how long the state of an unused account is kept.
	idleAccountTTL = time.Minute
)

// Limits holds an account's rate, in requests per second, and its burst.
type Limits struct {
	Rate  float64
	Burst int64
}

// reportsImmediately reports whether spent tokens must be reported at once, because
// the tokens spent within reportDelay would be a large part of the burst.
func (l Limits) reportsImmediately() bool {
	return l.Burst <= smallBurst || float64(l.Burst) < 2*l.Rate*reportDelay.Seconds()
}

// Limiter admits requests at one entry host with tokens from the owners of the
// accounts' buckets. It is safe for concurrent use.
type Limiter struct {
	granter Granter
	origin  func() structs.Origin
	seq     atomic.Uint64

	mu       sync.Mutex
	accounts map[structs.AccountID]*localAccount
	requests sync.WaitGroup
}

// NewLimiter returns a limiter. origin returns this host's ID and current
// incarnation.
func NewLimiter(granter Granter, origin func() structs.Origin) *Limiter {
	return &Limiter{granter: granter, origin: origin, accounts: make(map[structs.AccountID]*localAccount)}
}

// Take takes a token for one request. It waits until a token is available, the owner
// refuses the request or ctx is done. It returns ErrUnavailable if the owner did not
// answer; nothing was admitted then.
func (l *Limiter) Take(ctx context.Context, id structs.AccountID, limits Limits) (Decision, error) {
	if limits.Rate <= 0 || limits.Burst <= 0 {
		return Decision{}, nil
	}
	l.mu.Lock()
	now := time.Now()
	account := l.accountLocked(id)
	account.demand(now)
	if len(account.waiters) == 0 && account.spend(now) {
		if left := account.batches.count(now); limits.reportsImmediately() || left < account.demand(now)/4 {
			l.requestTokensLocked(account, limits)
		}
		decision := account.decision(limits, now)
		l.mu.Unlock()
		decision.Allowed = true
		return decision, nil
	}
	if len(account.waiters) >= maxWaiters {
		decision := account.decision(limits, now)
		decision.RetryAfter = max(account.lastResult.RetryAfter, minRetryAfter)
		l.mu.Unlock()
		return decision, nil
	}
	w := &waiter{since: now, result: make(chan takeResult, 1)}
	account.waiters = append(account.waiters, w)
	l.requestTokensLocked(account, limits)
	l.mu.Unlock()
	return l.wait(ctx, account, w, limits)
}

// wait waits for the result of a waiter.
func (l *Limiter) wait(ctx context.Context, account *localAccount, w *waiter, limits Limits) (Decision, error) {
	var result takeResult
	select {
	case result = <-w.result:
	case <-ctx.Done():
		l.mu.Lock()
		account.removeWaiter(w)
		l.mu.Unlock()
		select {
		case result = <-w.result:
		default:
			return Decision{}, ctx.Err()
		}
	}
	if result.err != nil {
		return Decision{}, result.err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	decision := account.decision(limits, time.Now())
	decision.Allowed = result.allowed
	decision.RetryAfter = result.retry
	return decision, nil
}

// decision returns a Decision that describes the bucket as far as this host can
// tell.
func (l *localAccount) decision(limits Limits, now time.Time) Decision {
	remaining := min(limits.Burst, l.batches.count(now)+l.lastResult.Level)
	decision := Decision{Limit: limits.Burst, Remaining: remaining}
	if limits.Rate > 0 {
		decision.Reset = time.Duration(float64(limits.Burst-remaining) / limits.Rate * float64(time.Second))
	}
	return decision
}

// accountLocked returns the state of an account, creating it if necessary. The
// caller must hold l.mu.
func (l *Limiter) accountLocked(id structs.AccountID) *localAccount {
	account := l.accounts[id]
	if account == nil {
		account = &localAccount{id: id, windowStart: time.Now()}
		l.accounts[id] = account
	}
	account.lastUsed = time.Now()
	return account
}

// requestTokensLocked starts a grant request unless one is in flight. The caller
// must hold l.mu.
func (l *Limiter) requestTokensLocked(account *localAccount, limits Limits) {
	if account.requesting {
		return
	}
	account.requesting = true
	l.requests.Add(1)
	go func() {
		defer l.requests.Done()
		for l.requestTokens(account, limits) {
			time.Sleep(l.nextRequestDelay(account))
		}
	}()
}

// nextRequestDelay returns the delay before the next grant request for the remaining
// waiters.
func (l *Limiter) nextRequestDelay(account *localAccount) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(account.waiters) == 0 || account.lastResult.Granted > 0 || account.lastResult.RetryAfter == 0 {
		return 0
	}
	return min(account.lastResult.RetryAfter, unsettledRetryDelay)
}

// requestTokens sends one grant request and applies the reply. It reports whether to
// send another one.
func (l *Limiter) requestTokens(account *localAccount, limits Limits) bool {
	l.mu.Lock()
	req := account.request(l.origin(), l.nextSeq(account), limits, time.Now())
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
	result, err := l.granter.Grant(ctx, req)
	cancel()
	if err == nil && result.Problem != nil {
		err = result.Problem
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if result.Problem != nil && req.Origin != l.origin() {
		// The owner refused an earlier incarnation of this host, which has joined anew since.
		account.resetIncarnation(l.origin())
		account.requesting = len(account.waiters) > 0
		return account.requesting
	}
	if err != nil {
		if result.Problem != nil && result.Problem.Code == codeStaleGrant {
			account.pending = nil
		}
		account.retryAt = time.Now().Add(reportRetryDelay)
		account.failWaiters(fmt.Errorf("%w: %w", ErrUnavailable, err))
		account.requesting = false
		return false
	}
	account.applyGrant(result, time.Now())
	account.requesting = len(account.waiters) > 0 || limits.reportsImmediately() && len(account.spends) > 0
	return account.requesting
}

// nextSeq returns the sequence number of the next request. The counter is shared by
// all accounts, so that numbers still increase after the state of an account was
// dropped and created again.
func (l *Limiter) nextSeq(account *localAccount) uint64 {
	if account.pending != nil {
		return account.pending.Seq
	}
	return l.seq.Add(1)
}

// Run returns unused tokens and reports spent ones until ctx is done. It then waits
// for the requests in flight.
func (l *Limiter) Run(ctx context.Context, limits func(structs.AccountID) (Limits, bool)) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	defer l.requests.Wait()
	for {
		select {
		case <-ticker.C:
			l.sweep(limits)
		case <-ctx.Done():
			return
		}
	}
}

// sweep returns expired tokens, sends the reports that are due and drops idle
// accounts.
func (l *Limiter) sweep(limits func(structs.AccountID) (Limits, bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for id, account := range l.accounts {
		account.returned += account.batches.expire(now, unusedTokenTTL)
		known, ok := limits(id)
		if ok && account.reportDue(now, known) {
			l.requestTokensLocked(account, known)
			continue
		}
		clean := account.pending == nil && len(account.spends) == 0 && len(account.batches) == 0 && !account.requesting
		if clean && len(account.waiters) == 0 && now.Sub(account.lastUsed) >= idleAccountTTL {
			delete(l.accounts, id)
		}
	}
}
