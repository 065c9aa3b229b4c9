package dispatch

import (
	"context"
	"sync"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/sched"
	"cowslipgw/internal/structs"
)

// Pool dispatches one pool at the host that owns it. A mutex protects its table;
// it is a leaf lock and not held during I/O.
type Pool struct {
	name      structs.PoolName
	host      structs.HostID
	directory Directory
	limits    Limits
	log       *event.Logger
	start     time.Time
	wake      chan struct{}

	mu      sync.Mutex
	policy  sched.Policy
	reports reportCache
	waiters map[structs.CallID]*waiter
	slots   map[structs.CallID]*heldSlot
	// queued counts the waiting calls of each account.
	queued map[structs.AccountID]int
	// rates are the generated tokens by model.
	rates  map[string]*tokenRate
	ticket uint64
	closed bool
}

// PoolOptions set up a Pool.
type PoolOptions struct {
	Name structs.PoolName
	// Host is the dispatching host, Term the number of the view in which it began.
	Host      structs.HostID
	Term      structs.ViewNumber
	Directory Directory
	Policy    sched.Policy
	Limits    Limits
	Log       *event.Logger
}

// termBits is the number of low bits of a ticket that count within a term.
const termBits = 24

// NewPool returns a pool without calls. Run must be running for waiting calls to
// be served in all cases.
func NewPool(o PoolOptions) *Pool {
	return &Pool{
		name:      o.Name,
		host:      o.Host,
		directory: o.Directory,
		limits:    o.Limits,
		log:       o.Log.With(event.Fields{"pool": o.Name}),
		start:     time.Now(),
		wake:      make(chan struct{}, 1),
		policy:    o.Policy,
		reports:   make(reportCache),
		waiters:   make(map[structs.CallID]*waiter),
		slots:     make(map[structs.CallID]*heldSlot),
		queued:    make(map[structs.AccountID]int),
		rates:     make(map[string]*tokenRate),
		ticket:    uint64(o.Term) << termBits,
	}
}

// Run decides again whenever replicas change, and regularly while calls wait. It
// ends with ctx; calls that wait then are told to ask the new dispatcher.
func (p *Pool) Run(ctx context.Context) {
	p.log.Log(event.DispatcherStarted, nil)
	defer p.close()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		var ticks <-chan time.Time
		if p.busy() {
			ticks = ticker.C
		}
		changed := p.directory.Changed()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-p.wake:
		case <-ticks:
		}
		p.decide()
	}
}

// decide drops calls that nobody waits for and starts those that can start.
func (p *Pool) decide() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLocked(time.Now())
	p.assignLocked()
}

// assignLocked gives replicas to waiting calls until none can start.
func (p *Pool) assignLocked() {
	if p.closed || len(p.waiters) == 0 {
		return
	}
	now := p.now()
	snapshot, addresses := p.snapshotLocked()
	for {
		assignment, ok := p.policy.Next(snapshot, now)
		if !ok {
			return
		}
		p.grantLocked(assignment, addresses[assignment.Replica])
	}
}

// grantLocked turns an assignment into a slot and wakes the call.
func (p *Pool) grantLocked(a sched.Assignment, address string) {
	w := p.waiters[a.Call.ID]
	p.forgetWaiterLocked(w)
	p.ticket++
	slot := Slot{
		Pool: p.name, Replica: a.Replica, Address: address,
		Ticket: p.ticket, Dispatcher: p.host, Call: a.Call.ID,
	}
	held := &heldSlot{slot: slot, origin: w.request.Origin, model: w.request.Model, since: time.Now(), claimed: w.asking > 0}
	p.slots[a.Call.ID] = held
	w.finish(AcquireReply{State: StateGranted, Slot: slot})
}

// forgetWaiterLocked removes a call from the table of waiting calls.
func (p *Pool) forgetWaiterLocked(w *waiter) {
	delete(p.waiters, w.request.Call)
	account := w.request.Account
	p.queued[account]--
	if p.queued[account] == 0 {
		delete(p.queued, account)
	}
	if len(p.waiters)+len(p.slots) == 0 {
		p.wakeUp()
	}
}

// busy says whether Run has to look regularly: calls wait or a slot may be unclaimed.
func (p *Pool) busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiters) > 0 {
		return true
	}
	for _, held := range p.slots {
		if !held.claimed {
			return true
		}
	}
	return false
}

// close tells the waiting calls to ask the new dispatcher.
func (p *Pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, w := range p.waiters {
		w.finish(AcquireReply{State: StateMoved})
	}
	p.waiters = make(map[structs.CallID]*waiter)
	p.log.Log(event.DispatcherStopped, nil)
}

// wakeUp makes Run decide again.
func (p *Pool) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// now is the clock of the policy: the time since the pool began.
func (p *Pool) now() time.Duration {
	return time.Since(p.start)
}
