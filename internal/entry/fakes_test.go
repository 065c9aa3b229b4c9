package entry_test

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"cowslipgw/internal/account"
	"cowslipgw/internal/dispatch"
	"cowslipgw/internal/fleet"
	"cowslipgw/internal/lists"
	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
)

// fakeOwner keeps the programs and claims of one test in memory.
type fakeOwner struct {
	mu        sync.Mutex
	begins    []program.BeginRequest
	settles   []program.SettleRequest
	ends      []program.EndRequest
	closes    []program.CloseRequest
	claims    map[program.ClaimKey]*fakeClaim
	history   []structs.Message
	beginErr  error
	settleErr error
}

// fakeClaim is one idempotency claim.
type fakeClaim struct {
	digest [32]byte
	call   structs.CallID
	state  program.ClaimState
	answer *program.StoredAnswer
}

func (f *fakeOwner) Begin(_ context.Context, request program.BeginRequest) (program.BeginResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begins = append(f.begins, request)
	if f.beginErr != nil {
		return program.BeginResult{}, f.beginErr
	}
	history := append(append([]structs.Message{}, f.history...), request.Messages...)
	return program.BeginResult{History: history, Turn: len(f.begins), Number: 77, Fence: 5, PromptTokens: 10}, nil
}

func (f *fakeOwner) Settle(_ context.Context, request program.SettleRequest) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settles = append(f.settles, request)
	return f.settleErr
}

func (f *fakeOwner) End(_ context.Context, request program.EndRequest) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ends = append(f.ends, request)
	return nil
}

func (f *fakeOwner) Open(_ context.Context, request program.OpenRequest) (program.OpenResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	claim, ok := f.claims[request.Claim]
	switch {
	case !ok:
		f.claims[request.Claim] = &fakeClaim{digest: request.Digest, call: request.Call, state: program.ClaimRunning}
		return program.OpenResult{State: program.ClaimOpened}, nil
	case claim.digest != request.Digest:
		return program.OpenResult{State: program.ClaimMismatch}, nil
	}
	return program.OpenResult{State: claim.state, Answer: claim.answer}, nil
}

func (f *fakeOwner) Close(_ context.Context, request program.CloseRequest) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closes = append(f.closes, request)
	claim := f.claims[request.Claim]
	switch request.Outcome {
	case structs.OutcomeNotRun:
		delete(f.claims, request.Claim)
	case structs.OutcomeAnswered:
		claim.state, claim.answer = program.ClaimFinished, request.Answer
	default:
		claim.state = program.ClaimUnknown
	}
	return nil
}

// lastSettle returns the last settlement.
func (f *fakeOwner) lastSettle() program.SettleRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.settles) == 0 {
		return program.SettleRequest{}
	}
	return f.settles[len(f.settles)-1]
}

// closed returns the requests that have closed claims so far.
func (f *fakeOwner) closed() []program.CloseRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.closes)
}

// fakeRates admits a fixed number of requests.
type fakeRates struct {
	mu   sync.Mutex
	left int64
	err  error
}

func (f *fakeRates) Take(_ context.Context, _ structs.AccountID, plan lists.Plan) (account.Decision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return account.Decision{}, f.err
	}
	f.left--
	return account.Decision{Allowed: f.left >= 0, Limit: plan.Burst, Remaining: f.left, Reset: 3 * time.Second, RetryAfter: 1500 * time.Millisecond}, nil
}

// fakeLists provides the lists in force.
type fakeLists struct {
	mu      sync.Mutex
	current *lists.Lists
	changed chan struct{}
}

func (f *fakeLists) Current() *lists.Lists {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

func (f *fakeLists) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *fakeLists) put(next *lists.Lists) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = next
	close(f.changed)
	f.changed = make(chan struct{})
}

// fakeFreshness reports the lists as current unless stale is set.
type fakeFreshness struct{ stale bool }

func (f *fakeFreshness) Current() bool { return !f.stale }

// fakeHosts provides a fixed view.
type fakeHosts struct{ view fleet.View }

func (f *fakeHosts) View() *fleet.View    { return &f.view }
func (f *fakeHosts) Self() structs.HostID { return "h1" }

// fakeDispatcher assigns the first address that is not excluded.
type fakeDispatcher struct {
	mu        sync.Mutex
	addresses []string
	requests  []dispatch.Request
	results   []dispatch.Result
	wait      time.Duration
}

func (f *fakeDispatcher) Acquire(ctx context.Context, request dispatch.Request) (dispatch.Slot, error) {
	select {
	case <-time.After(f.wait):
	case <-ctx.Done():
		return dispatch.Slot{}, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, request)
	for _, address := range f.addresses {
		if !excluded(request, address) {
			return dispatch.Slot{Pool: request.Pool, Replica: structs.ReplicaID(address), Address: address, Call: request.Call}, nil
		}
	}
	return dispatch.Slot{}, &structs.Problem{Code: "no-replica", Status: http.StatusServiceUnavailable, Run: structs.RunNo, RetryAfter: time.Second}
}

func excluded(request dispatch.Request, address string) bool {
	for _, id := range request.Exclude {
		if string(id) == address {
			return true
		}
	}
	return false
}

func (f *fakeDispatcher) Release(_ dispatch.Slot, result dispatch.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results = append(f.results, result)
}
