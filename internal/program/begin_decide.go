package program

import (
	"fmt"
	"net/http"
	"time"

	"cowslipgw/internal/structs"
)

// InView reports whether a host is in the current view with the given incarnation.
type InView func(structs.Origin) bool

// BeginOutcome is the decision on a BeginRequest.
type BeginOutcome struct {
	Result BeginResult
	// Busy means that the call must wait: another call of the program is running, or
	// running calls of its root hold reserved tokens that may be returned. The owner
	// decides again after the next operation on the root, or after RetryAfter if that
	// is set.
	Busy       bool
	RetryAfter time.Duration
	// Op is the operation to replicate before the outcome is reported; nil for none.
	Op []byte
}

// DecideBegin decides whether a call may begin. A request for the call that is already
// running is a retry and gets the same result.
func (s *State) DecideBegin(req BeginRequest, inView InView, clock structs.OwnerClock) (BeginOutcome, error) {
	if !inView(req.Origin) {
		return BeginOutcome{Result: BeginResult{Problem: notInView(req.Origin)}}, nil
	}
	r, p := s.find(req.Key)
	if p != nil {
		if outcome, waits, err := s.checkExisting(p, req, clock); waits || err != nil {
			return outcome, err
		}
	}
	if r != nil && r.Ending {
		return BeginOutcome{Busy: true}, nil
	}
	prompt := EstimateTokens(req.Messages)
	if p != nil {
		prompt += p.Tokens
	}
	reserved := prompt + max(req.MaxTokens, 0)
	if detail, final := checkBudget(r, req, reserved, clock.Now); detail != "" {
		return s.rejectOverBudget(p, req, detail, final)
	}
	op := &beginOp{
		Key: req.Key, Call: req.Call, Origin: req.Origin, Depth: req.Depth, Messages: req.Messages,
		Counter: s.counter, Prompt: prompt, Reserved: reserved, At: clock.Now.UnixNano(),
	}
	if p != nil {
		op.Number = p.Number
	} else {
		op.Counter++
		op.Number = s.fleetNumber(op.Counter)
	}
	op.Counter++
	op.Fence = s.fleetNumber(op.Counter)
	data, err := Op{Begin: op}.encode()
	if err != nil {
		return BeginOutcome{}, err
	}
	return BeginOutcome{Result: beginResult(r, p, op, req.Budget.Wall, clock.Now), Op: data}, nil
}

// notInView returns the problem for a host that is not in the owner's view. Its call
// would never be ended if the host failed.
func notInView(origin structs.Origin) *structs.Problem {
	return &structs.Problem{
		Code: "host-not-in-view", Status: http.StatusServiceUnavailable, Run: structs.RunNo,
		Detail:     fmt.Sprintf("entry host %s (incarnation %d) is not in the fleet view", origin.Host, origin.Incarnation),
		RetryAfter: time.Second,
	}
}

// fleetNumber turns a counter of this partition into a number that is unique in the
// fleet.
func (s *State) fleetNumber(counter uint64) uint64 {
	return uint64(s.id)<<counterBits | counter
}

// checkExisting checks an existing program for a retry of its running call, a call to
// wait for, and the dispatch window of a host that left the view. It returns true if it
// decided the request.
func (s *State) checkExisting(p *programState, req BeginRequest, clock structs.OwnerClock) (BeginOutcome, bool, error) {
	if p.Running != nil && p.Running.ID == req.Call {
		outcome, err := s.retryBegin(p, req, clock)
		return outcome, true, err
	}
	if p.LastCall == req.Call {
		problem := &structs.Problem{
			Code: "call-ended", Status: http.StatusConflict, Run: structs.RunUnknown,
			Detail: "the call was begun before and has ended",
		}
		return BeginOutcome{Result: BeginResult{Problem: problem}}, true, nil
	}
	if p.Running != nil {
		return BeginOutcome{Busy: true}, true, nil
	}
	if p.Window == (ownerTime{}) {
		return BeginOutcome{}, false, nil
	}
	if p.Window.Owner != clock.Owner {
		restarted := ownerTime{Owner: clock.Owner, Monotonic: clock.Monotonic + DispatchWindow}
		data, err := Op{Window: &windowOp{Key: req.Key, Window: restarted}}.encode()
		return BeginOutcome{Busy: true, RetryAfter: DispatchWindow, Op: data}, true, err
	}
	if left := p.Window.Monotonic - clock.Monotonic; left > 0 {
		return BeginOutcome{Busy: true, RetryAfter: left}, true, nil
	}
	return BeginOutcome{}, false, nil
}

// retryBegin answers a request for the call that is already running. A further attempt
// at another replica reserves the maximum cost again.
func (s *State) retryBegin(p *programState, req BeginRequest, clock structs.OwnerClock) (BeginOutcome, error) {
	r, _ := s.find(req.Key)
	running := p.Running
	again := &beginOp{Messages: running.Messages, Number: p.Number, Fence: running.Fence, Prompt: running.Prompt}
	outcome := BeginOutcome{Result: beginResult(r, p, again, req.Budget.Wall, clock.Now)}
	if req.Attempt <= running.Attempt {
		return outcome, nil
	}
	if limit := req.Budget.Tokens; limit > 0 && r.Used+r.Reserved+running.Reserved > limit {
		return BeginOutcome{Result: BeginResult{Problem: budgetExhausted(fmt.Sprintf(
			"another attempt of the call may cost %d tokens; %d of %d are used and %d reserved",
			running.Reserved, r.Used, limit, r.Reserved))}}, nil
	}
	var err error
	outcome.Op, err = Op{Attempt: &attemptOp{Key: req.Key, Call: req.Call, Attempt: req.Attempt}}.encode()
	return outcome, err
}

// budgetExhausted returns the problem for a call that the budget does not allow.
func budgetExhausted(detail string) *structs.Problem {
	return &structs.Problem{
		Code: "budget-exhausted", Status: http.StatusPaymentRequired, Detail: detail, Run: structs.RunNo,
	}
}

// checkBudget describes the budget limit that the call would exceed, or returns "".
// final is false if running calls may still return tokens.
func checkBudget(r *rootProgram, req BeginRequest, reserved int64, now time.Time) (detail string, final bool) {
	limits := req.Budget
	if r == nil {
		r = &rootProgram{Started: now.UnixNano()}
	}
	if limits.Depth > 0 && req.Depth > limits.Depth {
		return fmt.Sprintf("sub-agents may nest %d deep; this one has depth %d", limits.Depth, req.Depth), true
	}
	if spent := time.Duration(now.UnixNano() - r.Started); limits.Wall > 0 && spent >= limits.Wall {
		return fmt.Sprintf("the program has run for %v of %v", spent.Round(time.Second), limits.Wall), true
	}
	if limits.Calls > 0 && r.Calls >= limits.Calls {
		return fmt.Sprintf("the program has made %d of %d calls", r.Calls, limits.Calls), !r.hasRunningCall()
	}
	if limits.Tokens > 0 && r.Used+r.Reserved+reserved > limits.Tokens {
		return fmt.Sprintf("the call may cost %d tokens; %d of %d are used and %d reserved",
			reserved, r.Used, limits.Tokens, r.Reserved), r.Used+reserved > limits.Tokens
	}
	return "", true
}

// hasRunningCall reports whether a call of the root or of a sub-agent is running.
func (r *rootProgram) hasRunningCall() bool {
	for _, p := range r.programs {
		if p.Running != nil {
			return true
		}
	}
	return false
}

// rejectOverBudget rejects a call that exceeds the budget, or lets it wait if the limit
// is not final. A program that has exhausted its budget releases its engine memory.
func (s *State) rejectOverBudget(p *programState, req BeginRequest, detail string, final bool) (BeginOutcome, error) {
	if !final {
		return BeginOutcome{Busy: true}, nil
	}
	outcome := BeginOutcome{Result: BeginResult{Problem: budgetExhausted(detail)}}
	if p == nil || len(p.Holders) == 0 {
		return outcome, nil
	}
	var err error
	outcome.Op, err = Op{ReleaseMemory: &releaseMemoryOp{Key: req.Key}}.encode()
	return outcome, err
}

// beginResult builds the result from the state before the operation.
func beginResult(r *rootProgram, p *programState, op *beginOp, wall time.Duration, now time.Time) BeginResult {
	result := BeginResult{Turn: 1, Number: op.Number, PromptTokens: op.Prompt, Fence: op.Fence}
	var history []structs.Message
	if p != nil {
		history = p.History
		result.Turn = p.Turn + 1
		result.Holders = append([]structs.ReplicaID(nil), p.Holders...)
	}
	result.WallLeft = wall
	if r != nil {
		result.Attained = r.Attained
		if wall > 0 {
			result.WallLeft = max(1, wall-time.Duration(now.UnixNano()-r.Started))
		}
	}
	result.History = make([]structs.Message, 0, len(history)+len(op.Messages))
	result.History = append(result.History, history...)
	result.History = append(result.History, op.Messages...)
	return result
}
