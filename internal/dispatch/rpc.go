package dispatch

import (
	"context"

	"cowslipgw/internal/control"
	"cowslipgw/internal/trace"
)

// ServiceName is the name of the RPC service.
const ServiceName = "Dispatch"

// rpcService has the methods of the RPC service.
type rpcService struct {
	service *Service
	tracer  *trace.Tracer
}

// RegisterService adds the service to a control server. Spans are started with
// tracer; nil starts none.
func RegisterService(server *control.Server, service *Service, tracer *trace.Tracer) error {
	return server.Register(ServiceName, &rpcService{service: service, tracer: tracer})
}

// Acquire asks for a slot.
func (r *rpcService) Acquire(args *AcquireArgs, reply *AcquireReply) error {
	ctx := context.Background()
	if r.tracer != nil {
		spanCtx, span := r.tracer.Start(trace.WithParent(ctx, args.Trace), "dispatch.acquire")
		defer span.End()
		ctx = spanCtx
	}
	pool := r.service.pool(args.Request.Pool)
	if pool == nil {
		reply.State = StateMoved
		return nil
	}
	*reply = pool.Ask(ctx, args.Request, pollWait)
	return nil
}

// Release gives a slot back or cancels a wait.
func (r *rpcService) Release(args *ReleaseArgs, _ *Empty) error {
	if pool := r.service.pool(args.Pool); pool != nil {
		pool.Release(args.Call, args.Result)
	}
	return nil
}

// Register takes the calls in flight of a host.
func (r *rpcService) Register(args *RegisterArgs, reply *RegisterReply) error {
	pool := r.service.pool(args.Pool)
	if pool == nil {
		reply.Moved = true
		return nil
	}
	pool.Register(args.Origin, args.Calls)
	return nil
}
