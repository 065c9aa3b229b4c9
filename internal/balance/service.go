package balance

import (
	"cowslipgw/internal/event"
	"cowslipgw/internal/guard"
)

// ServiceName is the name under which Service is registered with net/rpc.
const ServiceName = "Balance"

// End is the end of an assigned request.
type End struct {
	_  struct{} `cbor:",toarray"`
	ID uint64
	// PacePercent is how long the request took, as a percentage of the usual time; 0 if that is not
	// known.
	PacePercent uint16
}

// AssignArgs asks the owner of a service for a replica, and reports the ends of earlier requests.
type AssignArgs struct {
	Service string
	Request Request
	Ends    []End
}

// AssignReply is the response to AssignArgs; Replica is the hash of the replica, or 0.
type AssignReply struct{ Replica uint32 }

// EndArgs reports the ends of requests.
type EndArgs struct {
	Service string
	Ends    []End
}

// EndReply is the response to EndArgs.
type EndReply struct{}

// Service handles the calls of other hosts.
type Service struct {
	owner  *Owner
	events *event.Logger
}

// NewService returns the RPC service of owner.
func NewService(owner *Owner, events *event.Logger) *Service {
	return &Service{owner: owner, events: events}
}

// Assign calls Owner.End and Owner.Assign.
func (s *Service) Assign(args AssignArgs, reply *AssignReply) error {
	return guard.Call(s.events, ServiceName+".Assign", func() error {
		s.owner.End(args.Service, args.Ends)
		reply.Replica = s.owner.Assign(args.Service, args.Request)
		return nil
	})
}

// End calls Owner.End.
func (s *Service) End(args EndArgs, _ *EndReply) error {
	return guard.Call(s.events, ServiceName+".End", func() error {
		s.owner.End(args.Service, args.Ends)
		return nil
	})
}
