package fleet

// ServiceName is the name under which the service is registered.
const ServiceName = "Fleet"

// Service answers the calls of other members over net/rpc.
type Service struct {
	member *Member
}

// NewService returns the service of a member.
func NewService(member *Member) *Service {
	return &Service{member: member}
}

// Heartbeat takes in a heartbeat.
func (s *Service) Heartbeat(beat *Heartbeat, reply *HeartbeatReply) error {
	*reply = s.member.receive(beat)
	return nil
}

// Records returns records that this host has of a stream.
func (s *Service) Records(request *RecordsRequest, reply *RecordsReply) error {
	source := s.member.sources[request.Stream]
	if source == nil {
		return nil
	}
	if records, kept := source.Since(request.After, recordsLimit); kept {
		reply.Records = records
	}
	return nil
}
