package dispatch

import (
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/sched"
	"cowslipgw/internal/structs"
)

// Release frees the slot of a call, or cancels its wait. Unknown calls are ignored,
// since a release may be delivered twice.
func (p *Pool) Release(call structs.CallID, result Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w, waits := p.waiters[call]; waits {
		p.policy.Cancel(call)
		p.removeWaiterLocked(w)
		w.finish(AcquireReply{State: StateRefused, Problem: noReplicaInTime(p.name, p.limits.Wait)})
		return
	}
	if held := p.slots[call]; held != nil {
		p.countTokensLocked(held.model, result.Usage.CompletionTokens)
	}
	p.freeLocked(call, toCallResult(result))
	p.assignLocked()
}

// freeLocked ends a call in flight and frees its slot.
func (p *Pool) freeLocked(call structs.CallID, result sched.CallResult) {
	if _, held := p.slots[call]; !held {
		return
	}
	delete(p.slots, call)
	p.policy.Done(call, result, p.now())
}

// Register reconciles the pool's slots with a host's list of all its calls in
// flight. Unknown calls are added. Slots that are missing from the list are freed,
// because their release was lost.
func (p *Pool) Register(origin structs.Origin, calls []Running) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[structs.CallID]bool, len(calls))
	for _, running := range calls {
		listed[running.Request.Call] = true
		p.adoptLocked(origin, running)
	}
	for id, held := range p.slots {
		if held.origin == origin && !listed[id] && time.Since(held.since) > unlistedGrace {
			p.freeLocked(id, sched.CallResult{})
		}
	}
	p.assignLocked()
}

// adoptLocked adds a call that is already running. If the call is still queued here,
// its wait ends, since its host has chosen a replica locally.
func (p *Pool) adoptLocked(origin structs.Origin, running Running) {
	id := running.Request.Call
	if held, known := p.slots[id]; known {
		held.claimed = true
		if held.slot.Replica == running.Replica {
			return
		}
		p.freeLocked(id, sched.CallResult{})
	}
	if w, waits := p.waiters[id]; waits {
		p.policy.Cancel(id)
		p.removeWaiterLocked(w)
		w.finish(AcquireReply{State: StateMoved})
	}
	p.policy.Adopt(toCall(running.Request, p.now()), running.Replica, p.now())
	slot := Slot{Pool: p.name, Replica: running.Replica, Dispatcher: p.host, Call: id}
	p.slots[id] = &heldSlot{slot: slot, origin: origin, model: running.Request.Model, since: time.Now(), claimed: true}
}

// RetainHosts frees the slots and ends the waits of hosts that are not in the view
// with the given number. Hosts that joined after that view are kept.
func (p *Pool) RetainHosts(number structs.ViewNumber, live map[structs.HostID]structs.Incarnation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	departed := func(o structs.Origin) bool {
		return o.Incarnation <= number && live[o.Host] != o.Incarnation
	}
	freed := 0
	for id, w := range p.waiters {
		if departed(w.request.Origin) {
			p.policy.Cancel(id)
			p.removeWaiterLocked(w)
			w.finish(AcquireReply{State: StateMoved})
		}
	}
	for id, held := range p.slots {
		if departed(held.origin) {
			p.freeLocked(id, sched.CallResult{})
			freed++
		}
	}
	if freed > 0 {
		p.log.Log(event.SlotsFreed, event.Fields{"slots": freed, "view": number})
	}
	p.assignLocked()
}

// toCallResult converts a result to the policy's representation.
func toCallResult(r Result) sched.CallResult {
	return sched.CallResult{
		Answered:         r.Outcome == structs.OutcomeAnswered,
		PromptTokens:     int64(r.Usage.PromptTokens),
		CachedTokens:     int64(r.Usage.CachedTokens),
		CompletionTokens: int64(r.Usage.CompletionTokens),
		FirstToken:       r.FirstToken,
		Total:            r.Total,
	}
}
