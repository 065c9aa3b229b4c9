package owner

import (
	"context"
	"time"

	"cowslipgw/internal/partition"
	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
)

const (
	// auditAfter is how long a call may be open before its host is asked whether it still
	// runs it. A Begin or Open that an owner decided after its host gave up would
	// otherwise stay open for ever.
	auditAfter = 30 * time.Second
	// auditTimeout bounds one question to a host.
	auditTimeout = 2 * time.Second
)

// openCalls are the calls and claims that have been open for long, by host.
type openCalls struct {
	programs map[structs.CallID]program.RunningCall
	claims   map[structs.CallID]program.RunningClaim
	byHost   map[structs.Origin]*ActiveQuestion
}

func newOpenCalls() openCalls {
	return openCalls{
		programs: make(map[structs.CallID]program.RunningCall),
		claims:   make(map[structs.CallID]program.RunningClaim),
		byHost:   make(map[structs.Origin]*ActiveQuestion),
	}
}

// add collects the calls of one partition that began before a time.
func (o openCalls) add(state *program.State, before time.Time) {
	for _, running := range state.Running(before) {
		o.programs[running.Call] = running
		question := o.question(running.Origin)
		question.Begun = append(question.Begun, running.Call)
	}
	for _, running := range state.RunningClaims(before) {
		o.claims[running.Call] = running
		question := o.question(running.Origin)
		question.Opened = append(question.Opened, running.Call)
	}
}

func (o openCalls) question(origin structs.Origin) *ActiveQuestion {
	if o.byHost[origin] == nil {
		o.byHost[origin] = &ActiveQuestion{}
	}
	return o.byHost[origin]
}

// audit asks the hosts of long-open calls whether they still run them, and ends those
// that nobody runs as unknown.
func (s *Sweeper) audit(ctx context.Context) {
	open := newOpenCalls()
	before := time.Now().Add(-auditAfter)
	s.service.owned.Visit(func(_ partition.ID, machine partition.Machine) {
		open.add(program.FromMachine(machine), before)
	})
	for origin, question := range open.byHost {
		if !s.service.inView(origin) {
			continue
		}
		answer, answered := s.ask(ctx, origin, *question)
		if !answered {
			continue
		}
		for _, call := range answer.NotBegun {
			s.endCall(ctx, open.programs[call])
		}
		for _, call := range answer.NotOpened {
			s.endClaim(ctx, open.claims[call])
		}
	}
}

// ask puts the question to a host, which may be this one.
func (s *Sweeper) ask(ctx context.Context, origin structs.Origin, question ActiveQuestion) (ActiveAnswer, bool) {
	if origin == s.service.origin() {
		return s.service.active.missing(question), true
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

// endCall ends a call that its host does not run.
func (s *Sweeper) endCall(ctx context.Context, running program.RunningCall) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	request := program.SettleRequest{Key: running.Key, Call: running.Call, Outcome: structs.OutcomeUnknown}
	_, _ = s.service.Settle(ctx, request)
}

// endClaim closes a claim that its host does not run.
func (s *Sweeper) endClaim(ctx context.Context, running program.RunningClaim) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	request := program.CloseRequest{Claim: running.Claim, Call: running.Call, Outcome: structs.OutcomeUnknown}
	_, _ = s.service.Close(ctx, request)
}
