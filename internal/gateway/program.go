package gateway

import (
	"context"
	"net/http"
	"time"

	"cowslipgw/internal/admission"
	"cowslipgw/internal/route"
)

// ProgramAdmission decides whether programs may begin; see admission.Client.
type ProgramAdmission interface {
	Admit(ctx context.Context, r admission.Request) admission.Decision
}

// isTimedTurn reports whether the request is a turn, at an engine of a coordinated service, of a
// program that says when it should be finished.
func (x *exchange) isTimedTurn() bool {
	return x.route.Kind == route.Streaming && x.coordinated && x.call.HasProgramTime
}

// programTimeLeft returns the time until the program should be finished.
func (x *exchange) programTimeLeft() time.Duration { return x.call.ProgramTime - time.Since(x.start) }

// admitProgram decides whether the program of a first turn may begin.
func (x *exchange) admitProgram(ctx context.Context) *refusal {
	if x.g.admission == nil || !x.isTimedTurn() || x.call.Program == "" {
		return nil
	}
	d := x.g.admission.Admit(ctx, admission.Request{Service: x.service.Name,
		Program: admission.ProgramKey(x.accountName(), x.call.Program),
		Route:   x.route.Name, Priority: x.priority(), TimeLeft: x.programTimeLeft()})
	if d.Admitted() {
		return nil
	}
	x.programRefused = &d
	return &refusal{status: http.StatusServiceUnavailable, reason: "no capacity to finish the program in time",
		retryAfter: d.RetryAfter}
}

// turnPriority returns the engine priority of the request; ok is false if it has none.
func (x *exchange) turnPriority() (priority int, ok bool) {
	if !x.isTimedTurn() {
		return 0, false
	}
	return admission.TurnPriority(x.priority(), x.programTimeLeft()), true
}
