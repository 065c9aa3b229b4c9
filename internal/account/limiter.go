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
	// unusedFor is how long a host keeps a granted token that it does not use.
	unusedFor = time.Second
	// reportDelay is how long spent tokens may stay unreported.
	reportDelay = time.Second
	// smallBurst is the burst up to which tokens are reported as soon as they are spent
	// and none are fetched ahead: a few unreported tokens are a large part of it.
	smallBurst = 64
	// tick is how often returns and reports are looked for.
	tick = 50 * time.Millisecond
	// minRetry is the least time after which a refused caller is told to try again.
	minRetry = 100 * time.Millisecond
	// shortWait is the shortage that a request waits out instead of being refused: the
	// bucket lags by what tokens spend on their way, a few round trips.
	shortWait = 25 * time.Millisecond
	// askAgain is the pause between two requests while tokens are unsettled.
	askAgain = 25 * time.Millisecond
	// maxHold is how long a request waits for unsettled tokens. Other hosts report or
	// return theirs within reportDelay, unusedFor and a tick.
	maxHold = 1500 * time.Millisecond
	// maxWaiters limits the requests of one account that wait at one host.
	maxWaiters = 512
	// grantTimeout limits one request to the owner. The owner's partition may move for
	// up to 5 s.
	grantTimeout = 6 * time.Second
	// retryDelay is the pause before a report is repeated that got no answer.
	retryDelay = 500 * time.Millisecond
	// forgetAfter is how long an unused account is remembered.
	forgetAfter = time.Minute
)

// Limits are an account's rate, in requests a second, and burst.
type Limits struct {
	Rate  float64
	Burst int64
}

// prompt reports whether spent tokens must be reported at once, because those of
// reportDelay would be a large part of the burst.
func (l Limits) prompt() bool {
	return l.Burst <= smallBurst || float64(l.Burst) < 2*l.Rate*reportDelay.Seconds()
}

// Limiter admits requests at one entry host with tokens from the accounts' owners. Its
// methods are safe for concurrent use.
type Limiter struct {
	granter Granter
	origin  func() structs.Origin
	seq     atomic.Uint64

	mu       sync.Mutex
	accounts map[structs.AccountID]*local
	asks     sync.WaitGroup
}

// NewLimiter returns a limiter. origin names this host with its present incarnation.
func NewLimiter(granter Granter, origin func() structs.Origin) *Limiter {
	return &Limiter{granter: granter, origin: origin, accounts: make(map[structs.AccountID]*local)}
}

// Take asks for one request's token and waits until there is one, until the owner
// refuses it, or until ctx ends. ErrUnavailable: the owner did not answer; nothing was
// admitted.
func (l *Limiter) Take(ctx context.Context, id structs.AccountID, limits Limits) (Decision, error) {
	if limits.Rate <= 0 || limits.Burst <= 0 {
		return Decision{}, nil
	}
	l.mu.Lock()
	now := time.Now()
	account := l.accountLocked(id)
	account.demand(now)
	if len(account.waiters) == 0 && account.spend(now) {
		if left := account.lots.count(now); limits.prompt() || left < account.demand(now)/4 {
			l.askLocked(account, limits)
		}
		decision := account.decision(limits, now)
		l.mu.Unlock()
		decision.Allowed = true
		return decision, nil
	}
	if len(account.waiters) >= maxWaiters {
		decision := account.decision(limits, now)
		decision.RetryAfter = max(account.last.RetryAfter, minRetry)
		l.mu.Unlock()
		return decision, nil
	}
	w := &waiter{since: now, answer: make(chan takeAnswer, 1)}
	account.waiters = append(account.waiters, w)
	l.askLocked(account, limits)
	l.mu.Unlock()
	return l.wait(ctx, account, w, limits)
}

// wait waits for the outcome of a waiter.
func (l *Limiter) wait(ctx context.Context, account *local, w *waiter, limits Limits) (Decision, error) {
	var answer takeAnswer
	select {
	case answer = <-w.answer:
	case <-ctx.Done():
		l.mu.Lock()
		account.leave(w)
		l.mu.Unlock()
		select {
		case answer = <-w.answer:
		default:
			return Decision{}, ctx.Err()
		}
	}
	if answer.err != nil {
		return Decision{}, answer.err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	decision := account.decision(limits, time.Now())
	decision.Allowed = answer.allowed
	decision.RetryAfter = answer.retry
	return decision, nil
}

// decision fills in what the host knows about the bucket.
func (l *local) decision(limits Limits, now time.Time) Decision {
	remaining := min(limits.Burst, l.lots.count(now)+l.last.Level)
	decision := Decision{Limit: limits.Burst, Remaining: remaining}
	if limits.Rate > 0 {
		decision.Reset = time.Duration(float64(limits.Burst-remaining) / limits.Rate * float64(time.Second))
	}
	return decision
}

// accountLocked returns what the host knows about an account. l.mu is held.
func (l *Limiter) accountLocked(id structs.AccountID) *local {
	account := l.accounts[id]
	if account == nil {
		account = &local{id: id, second: time.Now()}
		l.accounts[id] = account
	}
	account.used = time.Now()
	return account
}

// askLocked starts a request to the owner unless one is in flight. l.mu is held.
func (l *Limiter) askLocked(account *local, limits Limits) {
	if account.asking {
		return
	}
	account.asking = true
	l.asks.Add(1)
	go func() {
		defer l.asks.Done()
		for l.ask(account, limits) {
			time.Sleep(l.pause(account))
		}
	}()
}

// pause is the time before the next request for waiters that are left.
func (l *Limiter) pause(account *local) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(account.waiters) == 0 || account.last.Granted > 0 || account.last.RetryAfter == 0 {
		return 0
	}
	return min(account.last.RetryAfter, askAgain)
}

// ask sends one request and settles its answer. It reports whether to ask again.
func (l *Limiter) ask(account *local, limits Limits) bool {
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
	if err != nil {
		if result.Problem != nil && result.Problem.Code == codeStale {
			account.pending = nil
		}
		account.retryAt = time.Now().Add(retryDelay)
		account.fail(fmt.Errorf("%w: %w", ErrUnavailable, err))
		account.asking = false
		return false
	}
	account.settle(result, time.Now())
	account.asking = len(account.waiters) > 0 || limits.prompt() && len(account.spends) > 0
	return account.asking
}

// nextSeq returns the number of the next request. It grows over all accounts, so that
// an account may be forgotten and asked for again.
func (l *Limiter) nextSeq(account *local) uint64 {
	if account.pending != nil {
		return account.pending.Seq
	}
	return l.seq.Add(1)
}

// Run returns unused tokens and reports spent ones until ctx ends, and waits for the
// requests in flight.
func (l *Limiter) Run(ctx context.Context, limits func(structs.AccountID) (Limits, bool)) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	defer l.asks.Wait()
	for {
		select {
		case <-ticker.C:
			l.sweep(limits)
		case <-ctx.Done():
			return
		}
	}
}

// sweep looks for returns and reports once.
func (l *Limiter) sweep(limits func(structs.AccountID) (Limits, bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for id, account := range l.accounts {
		account.returned += account.lots.expire(now, unusedFor)
		known, ok := limits(id)
		if ok && account.due(now, known) {
			l.askLocked(account, known)
			continue
		}
		clean := account.pending == nil && len(account.spends) == 0 && len(account.lots) == 0 && !account.asking
		if clean && len(account.waiters) == 0 && now.Sub(account.used) >= forgetAfter {
			delete(l.accounts, id)
		}
	}
}
