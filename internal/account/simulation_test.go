package account_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"cowslipgw/internal/account"
	"cowslipgw/internal/structs"
)

var errLost = errors.New("answer lost")

// fleet simulates the owner of one account's bucket, a replica of its state, and the
// network to the owner.
type fleet struct {
	random  *rand.Rand
	rate    float64
	burst   int64
	faults  bool
	started time.Time

	mu         sync.Mutex
	state      account.Buckets
	replica    account.Buckets
	owner      structs.Origin
	offset     time.Duration
	evicted    map[structs.Origin]bool
	violation  string
	requests   int
	duplicates sync.WaitGroup
}

func newFleet(seed uint64, rate float64, burst int64, faults bool) *fleet {
	return &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), rate: rate, burst: burst, faults: faults,
		started: time.Now(), state: make(account.Buckets), replica: make(account.Buckets),
		owner: structs.Origin{Host: "owner", Incarnation: 1}, evicted: make(map[structs.Origin]bool),
	}
}

// delay returns a random one-way delay. With faults, some are longer than
// GrantLifetime.
func (f *fleet) delay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.faults && f.random.IntN(15) == 0 {
		return time.Duration(f.random.IntN(3000)) * time.Millisecond
	}
	return time.Millisecond + time.Duration(f.random.IntN(1000))*time.Microsecond
}

func (f *fleet) chance(oneIn int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults && f.random.IntN(oneIn) == 0
}

// Grant delivers a request to the owner. With faults, requests and replies are lost
// and requests are delivered twice.
func (f *fleet) Grant(_ context.Context, req account.GrantRequest) (account.GrantResult, error) {
	time.Sleep(f.delay())
	if f.chance(40) {
		return account.GrantResult{}, errLost
	}
	result := f.decide(req)
	if f.chance(20) {
		delay := f.delay()
		f.duplicates.Go(func() {
			time.Sleep(delay)
			f.decide(req)
		})
	}
	time.Sleep(f.delay())
	if f.chance(20) {
		return account.GrantResult{}, errLost
	}
	return result, nil
}

// decide runs the decision at the owner and applies the operation to both copies.
func (f *fleet) decide(req account.GrantRequest) account.GrantResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests++
	req.Rate, req.Burst = f.rate, f.burst
	inView := func(o structs.Origin) bool { return !f.evicted[o] }
	if !inView(req.Origin) {
		return account.GrantResult{Problem: &structs.Problem{Code: "host-not-in-view"}}
	}
	clock := structs.OwnerClock{Owner: f.owner, Now: time.Now(), Monotonic: time.Since(f.started) + f.offset}
	result, op := f.state.Decide(req, float64(f.burst), inView, clock)
	if op != nil {
		f.state.Apply(op)
		f.replica.Apply(op)
	}
	if over := f.state.Excess(req.Account); over > 1e-6 {
		f.violation = fmt.Sprintf("level and held tokens exceed the burst by %v", over)
	}
	return result
}

// failOver promotes the replica, with another monotonic clock.
func (f *fleet) failOver() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = make(account.Buckets)
	for _, entry := range f.replica.Entries() {
		f.state.Restore(entry)
	}
	f.owner.Incarnation++
	f.offset = time.Duration(f.random.IntN(1e6)) * time.Second
}

// evict removes a host's incarnation from the view.
func (f *fleet) evict(origin structs.Origin) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evicted[origin] = true
}

// testHost is one entry host.
type testHost struct {
	limiter *account.Limiter
	mu      sync.Mutex
	origin  structs.Origin
}

func newTestHost(f *fleet, index int) *testHost {
	h := &testHost{origin: structs.Origin{Host: structs.HostID(fmt.Sprintf("host-%02d", index)), Incarnation: 1}}
	h.limiter = account.NewLimiter(f, h.current)
	return h
}

func (h *testHost) current() structs.Origin {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.origin
}

func (h *testHost) rejoin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.origin.Incarnation++
}

// recorder records the times of admissions and counts refusals and errors.
type recorder struct {
	mu       sync.Mutex
	admitted []time.Time
	refused  int
	failed   int
}

func (r *recorder) add(d account.Decision, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err != nil:
		r.failed++
	case d.Allowed:
		r.admitted = append(r.admitted, time.Now())
	default:
		r.refused++
	}
}

// excess returns the maximum, over all time windows t, by which the admissions
// exceed burst + rate*t.
func (r *recorder) excess(rate float64, burst int64) float64 {
	worst := 0.0
	for i := range r.admitted {
		for j := i; j < len(r.admitted); j++ {
			window := r.admitted[j].Sub(r.admitted[i]).Seconds()
			worst = max(worst, float64(j-i+1)-float64(burst)-rate*window)
		}
	}
	return worst
}
