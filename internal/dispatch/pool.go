package dispatch

import (
	"context"
	"sync"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/sched"
	"cowslipgw/internal/structs"
)

// Pool dispatches the calls of one pool on the host that owns it. A mutex protects
// its tables; it is a leaf lock and is not held during I/O.
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
	// queued is the number of waiting calls per account.
	queued map[structs.AccountID]int
	// tokenRates holds the rate of generated tokens by model.
	tokenRates map[string]*tokenRate
	lastTicket uint64
	closed     bool
}

// PoolOptions configures a Pool.
type PoolOptions struct {
	Name structs.PoolName
	// Host is the dispatching host. Term is the number of the view in which it
	// became the pool's dispatcher.
	Host      structs.HostID
	Term      structs.ViewNumber
	Directory Directory
	Policy    sched.Policy
	Limits    Limits
	Log       *event.Logger
}

// ticketSequenceBits is the number of low bits of a ticket that hold the sequence
// number within a term.
const ticketSequenceBits = 24

// NewPool returns a pool with no calls. Run must be running, or waiting calls may
// never be served.
func NewPool(o PoolOptions) *Pool {
	return &Pool{
		name:       o.Name,
		host:       o.Host,
		directory:  o.Directory,
		limits:     o.Limits,
		log:        o.Log.With(event.Fields{"pool": o.Name}),
		start:      time.Now(),
		wake:       make(chan struct{}, 1),
		policy:     o.Policy,
		reports:    make(reportCache),
		waiters:    make(map[structs.CallID]*waiter),
		slots:      make(map[structs.CallID]*heldSlot),
		queued:     make(map[structs.AccountID]int),
		tokenRates: make(map[string]*tokenRate),
		lastTicket: uint64(o.Term) << ticketSequenceBits,
	}
}

// Run schedules waiting calls whenever the replicas change, and periodically while
// calls are waiting. When ctx is done it returns and redirects the waiting calls to
// the new dispatcher.
func (p *Pool) Run(ctx context.Context) {
	p.log.Log(event.DispatcherStarted, nil)
	defer p.close()
	ticker := time.NewTicker(scheduleInterval)
	defer ticker.Stop()
	for {
		var ticks <-chan time.Time
		if p.needsPeriodicCheck() {
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
		p.schedule()
	}
}

// schedule drops expired and abandoned calls and starts those that can run.
func (p *Pool) schedule() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expireLocked(time.Now())
	p.assignLocked()
}

// assignLocked assigns replicas to waiting calls until no more can start.
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

// grantLocked turns an assignment into a slot and wakes the waiting call.
func (p *Pool) grantLocked(a sched.Assignment, address string) {
	w := p.waiters[a.Call.ID]
	p.removeWaiterLocked(w)
	p.lastTicket++
	slot := Slot{
		Pool: p.name, Replica: a.Replica, Address: address,
		Ticket: p.lastTicket, Dispatcher: p.host, Call: a.Call.ID,
	}
	held := &heldSlot{slot: slot, origin: w.request.Origin, model: w.request.Model, since: time.Now(), claimed: w.openPolls > 0}
	p.slots[a.Call.ID] = held
	w.finish(AcquireReply{State: StateGranted, Slot: slot})
}

// removeWaiterLocked removes a call from the queue.
func (p *Pool) removeWaiterLocked(w *waiter) {
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

// needsPeriodicCheck reports whether Run must check periodically, because calls are
// waiting or a slot is unclaimed.
func (p *Pool) needsPeriodicCheck() bool {
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

// close redirects the waiting calls to the new dispatcher.
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

// wakeUp makes Run reschedule.
func (p *Pool) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// now returns the time on the policy's clock, which starts when the pool is created.
func (p *Pool) now() time.Duration {
	return time.Since(p.start)
}
