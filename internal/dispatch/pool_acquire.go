package dispatch

import (
	"context"
	"slices"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/sched"
	"cowslipgw/internal/structs"
)

// Poll queues a call, or continues its wait, and waits up to the given time for its
// slot. It is idempotent: a call that polls again keeps its place in the queue, and
// a slot whose grant was lost is returned again.
func (p *Pool) Poll(ctx context.Context, request Request, wait time.Duration) AcquireReply {
	w, reply := p.startPoll(request)
	if w == nil {
		return reply
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	case <-ctx.Done():
	}
	return p.endPoll(w)
}

// startPoll finds or creates the waiter of a call. If it returns no waiter, the
// reply is final.
func (p *Pool) startPoll(request Request) (*waiter, AcquireReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, AcquireReply{State: StateMoved}
	}
	if held, ok := p.slots[request.Call]; ok {
		held.claimed = true
		return nil, AcquireReply{State: StateGranted, Slot: held.slot}
	}
	if w, ok := p.waiters[request.Call]; ok {
		w.openPolls++
		return w, AcquireReply{}
	}
	if problem := p.checkAdmissionLocked(request); problem != nil {
		return nil, AcquireReply{State: StateRefused, Problem: problem}
	}
	w := &waiter{
		request:   request,
		openPolls: 1,
		deadline:  time.Now().Add(p.limits.Wait - request.Waited),
		done:      make(chan struct{}),
	}
	p.waiters[request.Call] = w
	p.queued[request.Account]++
	p.policy.Enqueue(toCall(request, p.now()), p.now())
	p.assignLocked()
	p.wakeUp()
	return w, AcquireReply{}
}

// endPoll ends one poll and returns its reply.
func (p *Pool) endPoll(w *waiter) AcquireReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.openPolls--
	w.lastPollEnd = time.Now()
	select {
	case <-w.done:
		return w.reply
	default:
		return AcquireReply{State: StateQueued}
	}
}

// checkAdmissionLocked applies the queue limits. A call that has failed on every
// live replica is refused at once, since no replica is left to wait for.
func (p *Pool) checkAdmissionLocked(request Request) *structs.Problem {
	if len(request.Exclude) > 0 && !p.hasAlternative(request.Exclude) {
		return noReplica(p.name)
	}
	account := p.queued[request.Account]
	if account < p.limits.Account && len(p.waiters) < p.limits.Pool {
		return nil
	}
	p.log.Log(event.QueueFull, event.Fields{"account": request.Account, "waiting": len(p.waiters)})
	return queueFull(p.name, len(p.waiters), account)
}

// hasAlternative reports whether the pool has a live replica that is not excluded.
func (p *Pool) hasAlternative(excluded []structs.ReplicaID) bool {
	for _, replica := range p.directory.Replicas(p.name) {
		if replica.State != stateLeaving && !slices.Contains(excluded, replica.ID) {
			return true
		}
	}
	return false
}

// expireLocked refuses waiting calls that are past their deadline or whose host has
// stopped polling, and frees slots that no host has claimed.
func (p *Pool) expireLocked(now time.Time) {
	for id, w := range p.waiters {
		abandoned := w.openPolls == 0 && now.Sub(w.lastPollEnd) > pollGrace
		if now.Before(w.deadline) && !abandoned {
			continue
		}
		p.policy.Cancel(id)
		p.removeWaiterLocked(w)
		w.finish(AcquireReply{State: StateRefused, Problem: noReplicaInTime(p.name, p.limits.Wait)})
		if !abandoned {
			p.log.Log(event.QueueTimeout, event.Fields{"account": w.request.Account, "call": id})
		}
	}
	for id, held := range p.slots {
		if !held.claimed && now.Sub(held.since) > pollGrace {
			p.freeLocked(id, sched.CallResult{})
		}
	}
}

// toCall converts a request to the policy's representation.
func toCall(r Request, now time.Duration) *sched.Call {
	return &sched.Call{
		ID: r.Call, Account: r.Account, Weight: r.Weight, Model: r.Model, Program: r.Program,
		PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens,
		Prefix: r.Prefix, PrefixTokens: r.PrefixTokens,
		Holders: r.Holders, Attained: r.Attained, Exclude: r.Exclude,
		Arrived: now - r.Waited,
	}
}
