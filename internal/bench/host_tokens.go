package bench

import (
	"time"

	"cowslipgw/internal/account"
	"cowslipgw/internal/structs"
)

// hostTokens are one host's tokens of one account.
type hostTokens struct {
	l             *ownerLimiter
	host, account int
	id            structs.AccountID
	limit         accountLimit
	origin        structs.Origin

	lots     []tokenLot
	spends   []tokenLot
	returned int64
	waiters  []*tokenWaiter
	asking   bool
	sent     time.Duration
	// recent and previous count admissions in this and the last second.
	recent, previous int64
	second           time.Duration
}

// tokenLot are tokens of one grant, or tokens spent at one time.
type tokenLot struct {
	tokens             int64
	requested, arrived time.Duration
}

// tokenWaiter is a call that waits for the owner.
type tokenWaiter struct {
	since   time.Duration
	asked   bool
	decided func(bool, time.Duration)
}

func (t *hostTokens) now() time.Duration { return t.l.c.sim.now }

// prompt says that spent tokens are reported at once.
func (t *hostTokens) prompt() bool {
	return t.limit.burst <= smallBurst || float64(t.limit.burst) < 2*t.limit.rate*reportDelay.Seconds()
}

// take admits a call with a token in hand, or asks the owner.
func (t *hostTokens) take(decided func(bool, time.Duration)) {
	t.countSecond()
	if len(t.waiters) == 0 && t.spend() {
		if t.prompt() || t.left() < t.demand()/4 {
			t.ask()
		}
		decided(true, 0)
		return
	}
	t.waiters = append(t.waiters, &tokenWaiter{since: t.now(), decided: decided})
	t.ask()
}

// spend takes a token in hand.
func (t *hostTokens) spend() bool {
	for i := range t.lots {
		lot := &t.lots[i]
		if lot.tokens > 0 && t.now()-lot.requested < account.GrantLifetime {
			lot.tokens--
			t.recent++
			t.spends = append(t.spends, tokenLot{tokens: 1, arrived: t.now()})
			return true
		}
	}
	return false
}

// left counts the tokens in hand.
func (t *hostTokens) left() int64 {
	total := int64(0)
	for _, lot := range t.lots {
		if t.now()-lot.requested < account.GrantLifetime {
			total += lot.tokens
		}
	}
	return total
}

func (t *hostTokens) countSecond() {
	switch age := t.now() - t.second; {
	case age >= 2*time.Second:
		t.previous, t.recent, t.second = 0, 0, t.now()
	case age >= time.Second:
		t.previous, t.recent, t.second = t.recent, 0, t.now()
	}
}

func (t *hostTokens) demand() int64 { return max(t.previous, t.recent) }

// ask sends a request to the owner unless one is under way.
func (t *hostTokens) ask() {
	if t.asking {
		return
	}
	t.asking = true
	t.sent = t.now()
	t.l.seq++
	request := account.GrantRequest{
		Account: t.id, Origin: t.origin, Seq: t.l.seq, Returned: t.returned,
		Rate: t.limit.rate, Burst: t.limit.burst,
	}
	for _, w := range t.waiters {
		w.asked = true
		request.Need++
	}
	request.Want = request.Need
	if !t.prompt() {
		request.Want += max(0, t.demand()-t.left())
	}
	for _, spent := range t.spends {
		request.Spent += spent.tokens
		request.Spends = append(request.Spends, account.Spend{Tokens: spent.tokens, Age: t.now() - spent.arrived})
	}
	t.spends, t.returned = nil, 0
	t.l.c.sim.after(t.l.c.deployment.HostDelay, func() {
		t.l.decide(t.account, request, func(result account.GrantResult) { t.settle(request, result) })
	})
}

// settle takes the answer and decides on the calls that wait.
func (t *hostTokens) settle(request account.GrantRequest, result account.GrantResult) {
	t.asking = false
	if t.l.c.hosts[t.host].dead {
		for _, w := range t.waiters {
			w.decided(false, 0)
		}
		t.waiters = nil
		return
	}
	if result.Granted > 0 {
		t.lots = append(t.lots, tokenLot{tokens: result.Granted, requested: t.sent, arrived: t.now()})
	}
	between := time.Duration(float64(time.Second) / t.limit.rate)
	due := result.RetryAfter - time.Duration(request.Need-result.Granted-1)*between
	waiting := t.waiters
	t.waiters = nil
	for _, w := range waiting {
		if t.spend() {
			w.decided(true, 0)
			continue
		}
		if !w.asked || t.mayHold(w, result, due) {
			w.asked = false
			t.waiters = append(t.waiters, w)
			due += between
			continue
		}
		w.decided(false, max(due, 100*time.Millisecond))
	}
	if len(t.waiters) > 0 {
		pause := time.Duration(0)
		if result.Granted == 0 {
			pause = min(result.RetryAfter, askAgain)
		}
		t.l.c.sim.after(pause, t.ask)
	}
}

// mayHold says whether a call may wait on for a token.
func (t *hostTokens) mayHold(w *tokenWaiter, result account.GrantResult, due time.Duration) bool {
	waited := t.now() - w.since
	if waited < 2*shortWait && due <= shortWait {
		return true
	}
	return waited < maxHold && result.Unsettled > 0
}

// tick returns unused tokens and reports spent ones.
func (t *hostTokens) tick() {
	kept := t.lots[:0]
	for _, lot := range t.lots {
		if t.now()-lot.arrived >= unusedFor || t.now()-lot.requested >= account.GrantLifetime {
			t.returned += lot.tokens
		} else if lot.tokens > 0 {
			kept = append(kept, lot)
		}
	}
	t.lots = kept
	late := len(t.spends) > 0 && (t.prompt() || t.now()-t.spends[0].arrived >= reportDelay)
	if t.returned > 0 || late {
		t.ask()
	}
}
