package dispatch

import (
	"context"

	"cowslipgw/internal/control"
	"cowslipgw/internal/trace"
)

// ServiceName is the name of the RPC service.
const ServiceName = "Dispatch"

// rpcService implements the methods of the RPC service.
type rpcService struct {
	service *Service
	tracer  *trace.Tracer
}

// RegisterService registers the service on a control server. If tracer is nil, no
// spans are recorded.
func RegisterService(server *control.Server, service *Service, tracer *trace.Tracer) error {
	return server.Register(ServiceName, &rpcService{service: service, tracer: tracer})
}

// Acquire requests a slot or continues a wait.
func (r *rpcService) Acquire(args *AcquireArgs, reply *AcquireReply) error {
	ctx := context.Background()
	if r.tracer != nil {
		spanCtx, span := r.tracer.Start(trace.WithTraceparent(ctx, args.Trace), "dispatch.acquire")
		defer span.End()
		ctx = spanCtx
	}
	pool := r.service.pool(args.Request.Pool)
	if pool == nil {
		reply.State = StateMoved
		return nil
	}
	*reply = pool.Poll(ctx, args.Request, pollTimeout)
	return nil
}

// Release frees a slot or cancels a wait.
func (r *rpcService) Release(args *ReleaseArgs, _ *Empty) error {
	if pool := r.service.pool(args.Pool); pool != nil {
		pool.Release(args.Call, args.Result)
	}
	return nil
}

// Register registers the calls that a host has in flight.
func (r *rpcService) Register(args *RegisterArgs, reply *RegisterReply) error {
	pool := r.service.pool(args.Pool)
	if pool == nil {
		reply.Moved = true
		return nil
	}
	pool.Register(args.Origin, args.Calls)
	return nil
}
