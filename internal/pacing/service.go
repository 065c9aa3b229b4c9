package pacing

import (
	"cowslipgw/internal/event"
	"cowslipgw/internal/guard"
)

// ServiceName is the name under which Service is registered with net/rpc.
const ServiceName = "Pacing"

// Service handles the calls of other hosts.
type Service struct {
	pacer  *Pacer
	events *event.Logger
}

// NewService returns the RPC service of pacer.
func NewService(pacer *Pacer, events *event.Logger) *Service {
	return &Service{pacer: pacer, events: events}
}

// Reserve calls Pacer.Reserve.
func (s *Service) Reserve(args ReserveArgs, reply *ReserveReply) error {
	return guard.Call(s.events, ServiceName+".Reserve", func() error {
		*reply = s.pacer.Reserve(args)
		return nil
	})
}
