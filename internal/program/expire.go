package program

import (
	"time"

	"cowslipgw/internal/structs"
)

// freeClaimKept is how long a claim that was closed as not run is remembered. A repeated
// open may be delivered late by a connection that was cut meanwhile. The claims' retention
// bounds it, too.
const freeClaimKept = 10 * time.Minute

// DecideExpire releases the engine memory of programs without a call for the hold time,
// ends those without a call for the idle time, and removes claims after their
// retention, up to a batch of each. A claim whose host is still in the view and
// has not closed it is kept. It returns nil if nothing is due.
func (s *State) DecideExpire(inView InView, clock structs.OwnerClock) ([]byte, error) {
	now := clock.Now.UnixNano()
	op := &expireOp{Lossy: s.lossyUntil != 0 && s.lossyUntil <= now}
	op.Programs = s.idlePrograms(now - int64(s.limits.Idle))
	op.Forget = s.holdingPrograms(now - int64(s.limits.Hold))
	old := s.claimKeys(func(c *claim) bool {
		running := c.Outcome == 0 && inView(c.Origin)
		if c.free() {
			return c.At+int64(min(freeClaimKept, s.limits.Retention)) <= now
		}
		return !running && c.At+int64(s.limits.Retention) <= now
	})
	op.Claims = old[:min(len(old), expireBatch)]
	if s.lossyUntil == 0 {
		// A bucket that is dropped starts full again, which is not known to be right
		// after copies were lost.
		op.Buckets = s.buckets.Idle(clock, expireBatch)
	}
	if len(op.Programs) == 0 && len(op.Forget) == 0 && len(op.Claims) == 0 && len(op.Buckets) == 0 && !op.Lossy {
		return nil, nil
	}
	return Op{Expire: op}.encode()
}

// idlePrograms returns the programs without a call since a time, in order. A root is
// idle when its sub-agents are: it holds their budget.
func (s *State) idlePrograms(since int64) []Key {
	var idle []Key
	for key, r := range s.roots {
		if r.LastUse <= since && !r.running() {
			idle = append(idle, Key{key.Account, key.Root, key.Root})
			continue
		}
		for id, p := range r.programs {
			if id != key.Root && p.Running == nil && p.LastUse <= since {
				idle = append(idle, Key{key.Account, key.Root, id})
			}
		}
	}
	sortKeys(idle)
	return idle[:min(len(idle), expireBatch)]
}

// holdingPrograms returns the programs that hold engine memory and had no call since a
// time, in order.
func (s *State) holdingPrograms(since int64) []Key {
	holding := s.keysWhere(func(p *state) bool {
		return p.Running == nil && len(p.Holders) > 0 && p.LastUse <= since
	})
	return holding[:min(len(holding), expireBatch)]
}

// applyExpire removes what is due.
func (s *State) applyExpire(op *expireOp) {
	for _, key := range op.Forget {
		if _, p := s.find(key); p != nil {
			s.forget(p)
		}
	}
	for _, key := range op.Programs {
		s.applyEnd(key)
	}
	for _, key := range op.Claims {
		s.dropClaim(key)
	}
	for _, id := range op.Buckets {
		delete(s.buckets, id)
	}
	if op.Lossy {
		s.lossyUntil = 0
		s.lossyAt = window{}
	}
}

// DecideLossy marks a partition that lost its copies and was restored from an older
// checkpoint, or from nothing. Idempotency keys without a claim are answered as
// unknown until the retention has passed. view is the current view's number, which
// keeps program numbers unique.
func (s *State) DecideLossy(view structs.ViewNumber, clock structs.OwnerClock) ([]byte, error) {
	return Op{Lossy: &lossyOp{
		Now:     clock.Now.UnixNano(),
		Until:   clock.Now.Add(s.limits.Retention).UnixNano(),
		At:      window{Owner: clock.Self, Until: clock.Mono},
		Counter: max(s.counter, uint64(view)<<epochBits) & (1<<counterBits - 1),
	}}.encode()
}

// applyLossy marks the state. A call or claim that was open in the restored state may
// have ended since, and nobody would end it again; it counts as unknown.
func (s *State) applyLossy(op *lossyOp) {
	s.lossyUntil = op.Until
	s.lossyAt = op.At
	s.counter = op.Counter
	for _, key := range s.keys() {
		r, p := s.find(key)
		if p == nil || p.Running == nil {
			continue
		}
		r.finish(p, structs.OutcomeUnknown, 0, op.Now)
		p.Window = window{Owner: op.At.Owner, Until: op.At.Until + DispatchWindow}
		p.Lost = true
		if p.Ending {
			s.applyEnd(key)
		}
	}
	for _, c := range s.claims {
		if c.Outcome == 0 {
			c.Outcome = structs.OutcomeUnknown
		}
	}
}

// Lossy reports whether copies were lost within the retention.
func (s *State) Lossy() bool {
	return s.lossyUntil != 0
}
