package evacuation

import (
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/guard"
)

// ServiceName is the name under which Service is registered with net/rpc.
const ServiceName = "Evacuation"

// ReportArgs asks a host for what it knows.
type ReportArgs struct{}

// ReportReply is the response to ReportArgs. Known is not set if the host has not read the records
// yet.
type ReportReply struct {
	Known    bool
	End      int64
	Domains  map[string]int64
	Returned map[string]int64
	// Age is the time since the state was confirmed.
	Age time.Duration
}

// Service handles the calls of other hosts.
type Service struct {
	knowledge *Knowledge
	events    *event.Logger
}

// NewService returns the RPC service of a host's knowledge.
func NewService(knowledge *Knowledge, events *event.Logger) *Service {
	return &Service{knowledge: knowledge, events: events}
}

// Report returns what this host knows.
func (s *Service) Report(_ ReportArgs, reply *ReportReply) error {
	return guard.Call(s.events, ServiceName+".Report", func() error {
		state, age, known := s.knowledge.report()
		*reply = ReportReply{Known: known, End: state.End, Domains: state.Domains, Returned: state.Returned, Age: age}
		return nil
	})
}
