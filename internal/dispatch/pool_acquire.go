package dispatch

import (
	"context"
	"slices"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/sched"
	"cowslipgw/internal/structs"
)

// Ask queues a call, or continues its wait, and waits up to the given time for its
// slot. The same call may ask again: it keeps its place, and a slot that it was
// given but did not learn of is given again.
func (p *Pool) Ask(ctx context.Context, request Request, wait time.Duration) AcquireReply {
	w, reply := p.join(request)
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
	return p.leave(w)
}

// join finds or makes the waiter of a call. Without a waiter the reply is final.
func (p *Pool) join(request Request) (*waiter, AcquireReply) {
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
		w.asking++
		return w, AcquireReply{}
	}
	if problem := p.refusalLocked(request); problem != nil {
		return nil, AcquireReply{State: StateRefused, Problem: problem}
	}
	w := &waiter{
		request:  request,
		asking:   1,
		deadline: time.Now().Add(p.limits.Wait - request.Waited),
		done:     make(chan struct{}),
	}
	p.waiters[request.Call] = w
	p.queued[request.Account]++
	p.policy.Enqueue(toCall(request, p.now()), p.now())
	p.assignLocked()
	p.wakeUp()
	return w, AcquireReply{}
}

// leave ends one question.
func (p *Pool) leave(w *waiter) AcquireReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	w.asking--
	w.lastAsked = time.Now()
	select {
	case <-w.done:
		return w.reply
	default:
		return AcquireReply{State: StateQueued}
	}
}

// refusalLocked applies the bounds of the queue. A call that every live replica has
// failed already is refused at once, since waiting brings no other replica.
func (p *Pool) refusalLocked(request Request) *structs.Problem {
	if len(request.Exclude) > 0 && !p.hasOther(request.Exclude) {
		return noReplica(p.name)
	}
	account := p.queued[request.Account]
	if account < p.limits.Account && len(p.waiters) < p.limits.Pool {
		return nil
	}
	p.log.Log(event.QueueFull, event.Fields{"account": request.Account, "waiting": len(p.waiters)})
	return queueFull(p.name, len(p.waiters), account)
}

// hasOther reports whether the pool has a live replica besides the excluded ones.
func (p *Pool) hasOther(excluded []structs.ReplicaID) bool {
	for _, replica := range p.directory.Replicas(p.name) {
		if replica.State != stateLeaving && !slices.Contains(excluded, replica.ID) {
			return true
		}
	}
	return false
}

// expireLocked ends the waits that are over their deadline or that no host asks
// for, and frees slots that no host claimed.
func (p *Pool) expireLocked(now time.Time) {
	for id, w := range p.waiters {
		abandoned := w.asking == 0 && now.Sub(w.lastAsked) > pollGrace
		if now.Before(w.deadline) && !abandoned {
			continue
		}
		p.policy.Cancel(id)
		p.forgetWaiterLocked(w)
		w.finish(AcquireReply{State: StateRefused, Problem: noReplicaInTime(p.name, p.limits.Wait)})
		if !abandoned {
			p.log.Log(event.QueueDeadline, event.Fields{"account": w.request.Account, "call": id})
		}
	}
	for id, held := range p.slots {
		if !held.claimed && now.Sub(held.since) > pollGrace {
			p.freeLocked(id, sched.Finish{})
		}
	}
}

// toCall is the form of a request that the policy takes.
func toCall(r Request, now time.Duration) *sched.Call {
	return &sched.Call{
		ID: r.Call, Account: r.Account, Weight: r.Weight, Model: r.Model, Program: r.Program,
		PromptTokens: r.PromptTokens, MaxTokens: r.MaxTokens,
		Prefix: r.Prefix, PrefixTokens: r.PrefixTokens,
		Holders: r.Holders, Attained: r.Attained, Exclude: r.Exclude,
		Arrived: now - r.Waited,
	}
}
