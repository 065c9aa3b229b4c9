package sched

import (
	"time"

	"cowslipgw/internal/structs"
)

// Fair is the policy in use: weighted fair queueing over accounts, least attained
// service by program with ageing, and affinity with bounded load.
type Fair struct {
	settings Settings
	accounts map[structs.AccountID]*accountQueue
	replicas map[structs.ReplicaID]*replicaState
	running  map[structs.CallID]*runningCall
	homes    *recent[uint64, home]
	prefixes prefixTable
	// virtual is the virtual time of the account that was served last.
	virtual  float64
	sequence uint64
	waiting  int
	// candidates and order are scratch space of Next.
	candidates []candidate
	order      []*accountQueue
}

// runningCall is a call in flight.
type runningCall struct {
	call    *Call
	replica structs.ReplicaID
	// cost is what the account was charged at dispatch.
	cost float64
	// backlog is the prefill in tokens ahead of the first token, the call's included.
	backlog float64
}

// NewFair returns a policy without calls.
func NewFair(settings Settings) *Fair {
	return &Fair{
		settings: settings,
		accounts: make(map[structs.AccountID]*accountQueue),
		replicas: make(map[structs.ReplicaID]*replicaState),
		running:  make(map[structs.CallID]*runningCall),
		homes:    newRecent[uint64, home](maxHomes),
		prefixes: prefixTable{newRecent[prefixPlace, struct{}](maxPrefixes)},
	}
}

// Waiting counts the calls that wait.
func (f *Fair) Waiting() int { return f.waiting }

// Enqueue adds a waiting call. An account that was idle starts at the virtual time
// of the others, so that it saves up no credit while it sends nothing.
func (f *Fair) Enqueue(call *Call, _ time.Duration) {
	account := f.account(call.Account)
	if account.idle() {
		account.virtual = max(account.virtual, f.virtual)
	}
	f.sequence++
	account.add(rankedCall{
		call:     call,
		rank:     float64(call.Attained) + f.settings.AgeingRate*call.Arrived.Seconds(),
		sequence: f.sequence,
		home:     f.home(call),
	})
	f.waiting++
}

// Next takes the first waiting call in rank order that a replica can take.
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
				f.virtual = max(f.virtual, account.virtual)
				f.start(account, r.call, c.info, now)
				return Assignment{Call: r.call, Replica: c.id}, true
			}
		}
	}
	return Assignment{}, false
}

// rank returns the accounts that wait in the order of fair queueing.
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

// start records a call in flight and charges its account.
func (f *Fair) start(account *accountQueue, call *Call, info *Replica, now time.Duration) {
	replica := info.ID
	state := f.state(replica)
	cached := f.cachedTokens(call, info)
	cost := account.expectedCost(call, cached, f.settings)
	account.virtual += cost / call.weight()
	account.running++
	state.startPrefill(call.PromptTokens-cached, now)
	state.change(1, now)
	backlog := (state.prefillUntil - now).Seconds() * state.prefillRate
	f.running[call.ID] = &runningCall{call: call, replica: replica, cost: cost, backlog: backlog}
	if call.Program != 0 {
		f.homes.put(call.Program, home{replica: replica, tokens: call.PromptTokens, at: now})
	}
	if call.Prefix != 0 {
		f.prefixes.add(call.Prefix, replica)
	}
}

// Adopt adds a call that runs already.
func (f *Fair) Adopt(call *Call, replica structs.ReplicaID, now time.Duration) {
	if _, known := f.running[call.ID]; known {
		return
	}
	f.start(f.account(call.Account), call, &Replica{ID: replica}, now)
}

// Done ends a call in flight and corrects what its account was charged.
func (f *Fair) Done(id structs.CallID, finish Finish, now time.Duration) {
	r, ok := f.running[id]
	if !ok {
		return
	}
	delete(f.running, id)
	state := f.state(r.replica)
	state.change(-1, now)
	account := f.account(r.call.Account)
	account.running--
	if finish.Answered {
		f.learn(account, state, r, finish, now)
	}
	if account.idle() && account.virtual <= f.virtual {
		delete(f.accounts, account.id)
	}
}

// learn uses the outcome of an answered call.
func (f *Fair) learn(account *accountQueue, state *replicaState, r *runningCall, finish Finish, now time.Duration) {
	cost := f.settings.cost(finish.PromptTokens, finish.CachedTokens, float64(finish.CompletionTokens))
	account.virtual += (cost - r.cost) / r.call.weight()
	account.output += observationShare * (float64(finish.CompletionTokens) - account.output)
	state.observe(finish, r.backlog, f.settings)
	if h, ok := f.homes.get(r.call.Program); ok && r.call.Program != 0 && h.replica == r.replica {
		tokens := finish.PromptTokens + finish.CompletionTokens
		f.homes.put(r.call.Program, home{replica: r.replica, tokens: tokens, at: now})
	}
}

// Cancel removes a waiting call.
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

// Forget drops what is known of a replica that is gone and has no calls in flight.
func (f *Fair) Forget(id structs.ReplicaID) {
	if state := f.replicas[id]; state != nil && state.running == 0 {
		delete(f.replicas, id)
	}
}

func (f *Fair) account(id structs.AccountID) *accountQueue {
	account := f.accounts[id]
	if account == nil {
		account = &accountQueue{id: id, output: initialOutput, virtual: f.virtual}
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
