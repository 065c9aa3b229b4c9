package owner

import (
	"context"
	"time"

	"cowslipgw/internal/partition"
	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
)

const (
	// auditAfter is how long a call or claim may stay open before the owner asks its
	// host whether it still runs it. Without this check, a Begin or Open that an owner
	// decided after the host had given up would stay open forever.
	auditAfter = 30 * time.Second
	// auditTimeout bounds one query to a host.
	auditTimeout = 2 * time.Second
)

// openCalls holds the calls and claims that have been open for at least auditAfter,
// together with the question to ask each host.
type openCalls struct {
	calls  map[structs.CallID]program.RunningCall
	claims map[structs.CallID]program.RunningClaim
	byHost map[structs.Origin]*ActiveQuestion
}

func newOpenCalls() openCalls {
	return openCalls{
		calls:  make(map[structs.CallID]program.RunningCall),
		claims: make(map[structs.CallID]program.RunningClaim),
		byHost: make(map[structs.Origin]*ActiveQuestion),
	}
}

// add collects the calls and claims of one partition that were opened before the given
// time.
func (o openCalls) add(state *program.State, before time.Time) {
	for _, running := range state.Running(before) {
		o.calls[running.Call] = running
		question := o.questionFor(running.Origin)
		question.Begun = append(question.Begun, running.Call)
	}
	for _, running := range state.RunningClaims(before) {
		o.claims[running.Call] = running
		question := o.questionFor(running.Origin)
		question.Opened = append(question.Opened, running.Call)
	}
}

// questionFor returns the question for a host and creates it on first use.
func (o openCalls) questionFor(origin structs.Origin) *ActiveQuestion {
	if o.byHost[origin] == nil {
		o.byHost[origin] = &ActiveQuestion{}
	}
	return o.byHost[origin]
}

// audit asks the hosts of calls and claims that have been open for longer than
// auditAfter whether they still run them, and ends those that their host does not run
// with an unknown outcome.
func (s *Sweeper) audit(ctx context.Context) {
	open := newOpenCalls()
	before := time.Now().Add(-auditAfter)
	s.service.owned.Visit(func(_ partition.ID, machine partition.StateMachine) {
		open.add(program.FromStateMachine(machine), before)
	})
	for origin, question := range open.byHost {
		if !s.service.inView(origin) {
			continue
		}
		answer, answered := s.queryHost(ctx, origin, *question)
		if !answered {
			continue
		}
		for _, call := range answer.NotBegun {
			s.endCall(ctx, open.calls[call])
		}
		for _, call := range answer.NotOpened {
			s.endClaim(ctx, open.claims[call])
		}
	}
}

// queryHost sends the question to a host, which may be this one. The result is false if
// the host did not answer.
func (s *Sweeper) queryHost(ctx context.Context, origin structs.Origin, question ActiveQuestion) (ActiveAnswer, bool) {
	if origin == s.service.origin() {
		return s.service.active.notActive(question), true
	}
	host, ok := s.service.viewer.View().Find(origin.Host)
	if !ok {
		return ActiveAnswer{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, auditTimeout)
	defer cancel()
	var answer ActiveAnswer
	err := s.options.Control.Call(ctx, host.ControlAddress, methodActive, question, &answer)
	return answer, err == nil
}

// endCall settles a call that its host no longer runs.
func (s *Sweeper) endCall(ctx context.Context, running program.RunningCall) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	request := program.SettleRequest{Key: running.Key, Call: running.Call, Outcome: structs.OutcomeUnknown}
	_, _ = s.service.Settle(ctx, request)
}

// endClaim closes a claim that its host no longer runs.
func (s *Sweeper) endClaim(ctx context.Context, running program.RunningClaim) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	request := program.CloseRequest{Claim: running.Claim, Call: running.Call, Outcome: structs.OutcomeUnknown}
	_, _ = s.service.Close(ctx, request)
}
