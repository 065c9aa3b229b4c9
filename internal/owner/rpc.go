package owner

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"cowslipgw/internal/account"
	"cowslipgw/internal/control"
	"cowslipgw/internal/program"
	"cowslipgw/internal/trace"
)

// Names of the control services and their methods.
const (
	programService = "Program"
	claimService   = "Claim"
	accountService = "Account"

	methodBegin  = programService + ".Begin"
	methodSettle = programService + ".Settle"
	methodEnd    = programService + ".End"
	methodOpen   = claimService + ".Open"
	methodClose  = claimService + ".Close"
	methodGrant  = accountService + ".Grant"
	methodActive = programService + ".Active"
)

// ProgramRPC exposes the operations on programs to other hosts.
type ProgramRPC struct {
	service *Service
	tracer  *trace.Tracer
}

// Begin handles Program.Begin.
func (r *ProgramRPC) Begin(call Call[program.BeginRequest], reply *Reply[BeginAnswer]) error {
	return serve(r.tracer, methodBegin, call, reply, r.service.Begin)
}

// Settle handles Program.Settle.
func (r *ProgramRPC) Settle(call Call[program.SettleRequest], reply *Reply[SettleAnswer]) error {
	return serve(r.tracer, methodSettle, call, reply, r.service.Settle)
}

// End handles Program.End.
func (r *ProgramRPC) End(call Call[program.EndRequest], reply *Reply[Empty]) error {
	return serve(r.tracer, methodEnd, call, reply, r.service.End)
}

// Active handles Program.Active. It returns the calls and claims that this host does
// not run.
func (r *ProgramRPC) Active(question ActiveQuestion, reply *ActiveAnswer) error {
	*reply = r.service.active.notActive(question)
	return nil
}

// ClaimRPC exposes the operations on idempotency claims to other hosts.
type ClaimRPC struct {
	service *Service
	tracer  *trace.Tracer
}

// Open handles Claim.Open.
func (r *ClaimRPC) Open(call Call[program.OpenRequest], reply *Reply[program.OpenResult]) error {
	return serve(r.tracer, methodOpen, call, reply, r.service.Open)
}

// Close handles Claim.Close.
func (r *ClaimRPC) Close(call Call[program.CloseRequest], reply *Reply[Empty]) error {
	return serve(r.tracer, methodClose, call, reply, r.service.Close)
}

// AccountRPC exposes the operations on rate buckets to other hosts.
type AccountRPC struct {
	service *Service
	tracer  *trace.Tracer
}

// Grant handles Account.Grant.
func (r *AccountRPC) Grant(call Call[account.GrantRequest], reply *Reply[account.GrantResult]) error {
	return serve(r.tracer, methodGrant, call, reply, r.service.Grant)
}

// Register registers the program, claim and account services with a control server.
func Register(server *control.Server, service *Service, tracer *trace.Tracer) error {
	if err := server.Register(programService, &ProgramRPC{service, tracer}); err != nil {
		return err
	}
	if err := server.Register(claimService, &ClaimRPC{service, tracer}); err != nil {
		return err
	}
	return server.Register(accountService, &AccountRPC{service, tracer})
}

// serve runs one operation for another host, bounded by that host's timeout.
func serve[A, R any](tracer *trace.Tracer, name string, call Call[A], reply *Reply[R],
	operation func(context.Context, A) (R, error)) error {
	ctx := trace.WithTraceparent(context.Background(), call.Traceparent)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(call.TimeoutMillis)*time.Millisecond)
	defer cancel()
	ctx, span := tracer.Start(ctx, name)
	defer span.End()
	*reply = newReply(operation(ctx, call.Args))
	span.SetAttributes(attribute.Int("outcome.code", int(reply.Code)))
	return nil
}
