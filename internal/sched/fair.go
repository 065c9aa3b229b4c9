package sched

import (
	"time"

	"cowslipgw/internal/structs"
)

// Fair is the production policy: weighted fair queueing between accounts, least
// attained service by program with ageing, and affinity with bounded load.
type Fair struct {
	settings       Settings
	accounts       map[structs.AccountID]*accountQueue
	replicas       map[structs.ReplicaID]*replicaState
	running        map[structs.CallID]*runningCall
	cacheLocations *generationalCache[uint64, cacheLocation]
	prefixes       prefixTable
	// virtualTime is the highest virtual time at which an account was served.
	virtualTime float64
	sequence    uint64
	waiting     int
	// candidates and order are buffers that Next reuses.
	candidates []candidate
	order      []*accountQueue
}

// runningCall is a call in flight.
type runningCall struct {
	call    *Call
	replica structs.ReplicaID
	// cost is what the account was charged at dispatch.
	cost float64
	// backlog is the number of prefill tokens, including the call's own, that the
	// replica had to process before this call's first token.
	backlog float64
}

// NewFair returns a policy with no calls.
func NewFair(settings Settings) *Fair {
	return &Fair{
		settings:       settings,
		accounts:       make(map[structs.AccountID]*accountQueue),
		replicas:       make(map[structs.ReplicaID]*replicaState),
		running:        make(map[structs.CallID]*runningCall),
		cacheLocations: newGenerationalCache[uint64, cacheLocation](maxCacheLocations),
		prefixes:       prefixTable{newGenerationalCache[prefixLocation, struct{}](maxPrefixes)},
	}
}

// Waiting returns the number of waiting calls.
func (f *Fair) Waiting() int { return f.waiting }

// Enqueue adds a waiting call. The virtual time of an idle account is raised to that
// of the accounts being served, so that it accumulates no credit while it sends
// nothing.
func (f *Fair) Enqueue(call *Call, _ time.Duration) {
	account := f.account(call.Account)
	if account.idle() {
		account.virtualTime = max(account.virtualTime, f.virtualTime)
	}
	f.sequence++
	account.add(rankedCall{
		call:      call,
		rank:      float64(call.Attained) + f.settings.AgeingRate*call.Arrived.Seconds(),
		sequence:  f.sequence,
		preferred: f.preferredReplica(call),
	})
	f.waiting++
}

// Next dequeues the first waiting call, in rank order, that a replica can take.
func (f *Fair) Next(snapshot Snapshot, now time.Duration) (Assignment, bool) {
	if f.waiting == 0 {
		return Assignment{}, false
	}
	candidates, mean := f.feasible(snapshot, now)
	if len(candidates) == 0 {
		return Assignment{}, false
	}
	for _, account := range f.rank() {
		for i, r := range account.calls {
			if c, ok := f.selectReplica(r, snapshot, candidates, mean, now); ok {
				account.remove(i)
				f.waiting--
				f.virtualTime = max(f.virtualTime, account.virtualTime)
				f.start(account, r.call, c.info, now)
				return Assignment{Call: r.call, Replica: c.id}, true
			}
		}
	}
	return Assignment{}, false
}

// rank returns the accounts with waiting calls in fair queueing order.
func (f *Fair) rank() []*accountQueue {
	f.order = f.order[:0]
	for _, account := range f.accounts {
		if len(account.calls) > 0 {
			f.order = append(f.order, account)
		}
	}
	rankAccounts(f.order)
	return f.order
}

// start records a call as running and charges its account.
func (f *Fair) start(account *accountQueue, call *Call, info *Replica, now time.Duration) {
	replica := info.ID
	state := f.state(replica)
	cached := f.cachedTokens(call, info)
	cost := account.expectedCost(call, cached, f.settings)
	account.virtualTime += cost / call.weight()
	account.running++
	state.startPrefill(call.PromptTokens-cached, now)
	state.adjustRunning(1, now)
	backlog := (state.prefillDoneAt - now).Seconds() * state.prefillRate
	f.running[call.ID] = &runningCall{call: call, replica: replica, cost: cost, backlog: backlog}
	if call.Program != 0 {
		f.cacheLocations.put(call.Program, cacheLocation{replica: replica, tokens: call.PromptTokens, at: now})
	}
	if call.Prefix != 0 {
		f.prefixes.add(call.Prefix, replica)
	}
}

// Adopt records a call that is already running.
func (f *Fair) Adopt(call *Call, replica structs.ReplicaID, now time.Duration) {
	if _, known := f.running[call.ID]; known {
		return
	}
	f.start(f.account(call.Account), call, &Replica{ID: replica}, now)
}

// Done ends a running call. If it was answered, its account's charge is corrected to
// the actual cost.
func (f *Fair) Done(id structs.CallID, result CallResult, now time.Duration) {
	r, ok := f.running[id]
	if !ok {
		return
	}
	delete(f.running, id)
	state := f.state(r.replica)
	state.adjustRunning(-1, now)
	account := f.account(r.call.Account)
	account.running--
	if result.Answered {
		f.recordAnswer(account, state, r, result, now)
	}
	if account.idle() && account.virtualTime <= f.virtualTime {
		delete(f.accounts, account.id)
	}
}

// recordAnswer updates the account, the replica's estimates and the program's cache
// location from an answered call.
func (f *Fair) recordAnswer(account *accountQueue, state *replicaState, r *runningCall, result CallResult, now time.Duration) {
	cost := f.settings.cost(result.PromptTokens, result.CachedTokens, float64(result.CompletionTokens))
	account.virtualTime += (cost - r.cost) / r.call.weight()
	account.meanOutput += smoothingFactor * (float64(result.CompletionTokens) - account.meanOutput)
	state.observe(result, r.backlog, f.settings)
	if location, ok := f.cacheLocations.get(r.call.Program); ok && r.call.Program != 0 && location.replica == r.replica {
		tokens := result.PromptTokens + result.CompletionTokens
		f.cacheLocations.put(r.call.Program, cacheLocation{replica: r.replica, tokens: tokens, at: now})
	}
}

// Cancel removes a waiting call and reports whether it was waiting.
func (f *Fair) Cancel(id structs.CallID) bool {
	for _, account := range f.accounts {
		for i, r := range account.calls {
			if r.call.ID == id {
				account.remove(i)
				f.waiting--
				return true
			}
		}
	}
	return false
}

// RemoveReplica drops the state of a removed replica unless it still has calls in
// flight.
func (f *Fair) RemoveReplica(id structs.ReplicaID) {
	if state := f.replicas[id]; state != nil && state.running == 0 {
		delete(f.replicas, id)
	}
}

func (f *Fair) account(id structs.AccountID) *accountQueue {
	account := f.accounts[id]
	if account == nil {
		account = &accountQueue{id: id, meanOutput: initialOutput, virtualTime: f.virtualTime}
		f.accounts[id] = account
	}
	return account
}

func (f *Fair) state(id structs.ReplicaID) *replicaState {
	state := f.replicas[id]
	if state == nil {
		state = newReplicaState(f.settings)
		f.replicas[id] = state
	}
	return state
}
