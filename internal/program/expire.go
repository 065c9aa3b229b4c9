package program

import (
	"time"

	"cowslipgw/internal/structs"
)

// notRunClaimRetention is how long a claim that was closed as not run is kept, because
// a connection that was cut in the meantime may deliver a duplicate open late. If
// Limits.Retention is shorter, it applies instead.
const notRunClaimRetention = 10 * time.Minute

// DecideExpire releases the engine memory of programs without a call for Limits.MemoryHold,
// ends those without a call for Limits.Idle, and removes claims after their retention,
// each up to a batch. A claim that is still open is kept while its host is in the view.
// It returns nil if nothing has expired.
func (s *State) DecideExpire(inView InView, clock structs.OwnerClock) ([]byte, error) {
	now := clock.Now.UnixNano()
	op := &expireOp{DataLossExpired: s.dataLossUntil != 0 && s.dataLossUntil <= now}
	op.Programs = s.idlePrograms(now - int64(s.limits.Idle))
	op.ReleaseMemory = s.holdingPrograms(now - int64(s.limits.MemoryHold))
	old := s.claimKeys(func(c *claim) bool {
		running := c.Outcome == 0 && inView(c.Origin)
		if c.closedNotRun() {
			return c.At+int64(min(notRunClaimRetention, s.limits.Retention)) <= now
		}
		return !running && c.At+int64(s.limits.Retention) <= now
	})
	op.Claims = old[:min(len(old), expireBatch)]
	if s.dataLossUntil == 0 {
		// A dropped bucket starts full again, which may grant too much after copies
		// were lost.
		op.Buckets = s.buckets.Idle(clock, expireBatch)
	}
	if len(op.Programs) == 0 && len(op.ReleaseMemory) == 0 && len(op.Claims) == 0 && len(op.Buckets) == 0 && !op.DataLossExpired {
		return nil, nil
	}
	return Op{Expire: op}.encode()
}

// idlePrograms returns the programs without a call since the given time, in order. A
// root is idle only when its sub-agents are, because it holds their budget.
func (s *State) idlePrograms(since int64) []Key {
	var idle []Key
	for key, r := range s.roots {
		if r.LastUse <= since && !r.hasRunningCall() {
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

// holdingPrograms returns the programs that hold engine memory and had no call since
// the given time, in order.
func (s *State) holdingPrograms(since int64) []Key {
	holding := s.keysMatching(func(p *programState) bool {
		return p.Running == nil && len(p.Holders) > 0 && p.LastUse <= since
	})
	return holding[:min(len(holding), expireBatch)]
}

// applyExpire removes the expired entries.
func (s *State) applyExpire(op *expireOp) {
	for _, key := range op.ReleaseMemory {
		if _, p := s.find(key); p != nil {
			s.releaseHolders(p)
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
	if op.DataLossExpired {
		s.dataLossUntil = 0
		s.dataLossAt = ownerTime{}
	}
}

// DecideDataLoss marks a partition that lost its copies and was restored from an older
// checkpoint, or from nothing. Idempotency keys without a claim are reported as unknown
// until the retention has passed. view is the number of the current view and keeps
// program numbers unique.
func (s *State) DecideDataLoss(view structs.ViewNumber, clock structs.OwnerClock) ([]byte, error) {
	return Op{DataLoss: &dataLossOp{
		Now:     clock.Now.UnixNano(),
		Until:   clock.Now.Add(s.limits.Retention).UnixNano(),
		At:      ownerTime{Owner: clock.Owner, Monotonic: clock.Monotonic},
		Counter: max(s.counter, uint64(view)<<epochBits) & (1<<counterBits - 1),
	}}.encode()
}

// applyDataLoss marks the state. A call or claim that is open in the restored state may
// have ended since, and nothing would end it again, so its outcome becomes unknown.
func (s *State) applyDataLoss(op *dataLossOp) {
	s.dataLossUntil = op.Until
	s.dataLossAt = op.At
	s.counter = op.Counter
	for _, key := range s.keys() {
		r, p := s.find(key)
		if p == nil || p.Running == nil {
			continue
		}
		r.endCall(p, structs.OutcomeUnknown, 0, op.Now)
		p.Window = ownerTime{Owner: op.At.Owner, Monotonic: op.At.Monotonic + DispatchWindow}
		p.LastUnknown = true
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

// HasDataLoss reports whether copies were lost within the retention.
func (s *State) HasDataLoss() bool {
	return s.dataLossUntil != 0
}
