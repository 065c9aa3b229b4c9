package admission

import (
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/guard"
)

// ServiceName is the name under which Service is registered with net/rpc.
const ServiceName = "Admission"

// AdmitArgs asks the owner of a service whether a program may begin.
type AdmitArgs struct {
	Service    string
	Program    uint64
	Route      string
	Priority   int
	TimeLeftMS int64
}

// AdmitReply is the response to AdmitArgs.
type AdmitReply struct {
	Reason       Reason
	RetryAfterMS int64
	// Slots, InFlight and Promised are the figures that decided it.
	Slots, InFlight, Promised float64
}

func (r AdmitReply) decision() Decision {
	return Decision{Reason: r.Reason, RetryAfter: time.Duration(r.RetryAfterMS) * time.Millisecond,
		Slots: r.Slots, InFlight: r.InFlight, Promised: r.Promised}
}

// Service handles the calls of other hosts.
type Service struct {
	owner  *Owner
	events *event.Logger
}

// NewService returns the RPC service of owner.
func NewService(owner *Owner, events *event.Logger) *Service {
	return &Service{owner: owner, events: events}
}

// Admit calls Owner.Admit.
func (s *Service) Admit(args AdmitArgs, reply *AdmitReply) error {
	return guard.Call(s.events, ServiceName+".Admit", func() error {
		d := s.owner.Admit(Request{Service: args.Service, Program: args.Program, Route: args.Route, Priority: args.Priority,
			TimeLeft: time.Duration(args.TimeLeftMS) * time.Millisecond})
		*reply = AdmitReply{Reason: d.Reason, RetryAfterMS: d.RetryAfter.Milliseconds(), Slots: d.Slots, InFlight: d.InFlight,
			Promised: d.Promised}
		return nil
	})
}
