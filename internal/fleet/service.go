package fleet

// ServiceName is the name under which Service is registered with net/rpc.
const ServiceName = "Fleet"

// Service serves the RPCs of the other members of the fleet.
type Service struct {
	member *Member
}

// NewService returns the RPC service of the given member.
func NewService(member *Member) *Service {
	return &Service{member: member}
}

// Heartbeat processes a heartbeat and returns this host's clock and stream offsets.
func (s *Service) Heartbeat(beat *Heartbeat, reply *HeartbeatReply) error {
	*reply = s.member.receive(beat)
	return nil
}

// Records returns cached records of a stream. The reply is empty if the stream is not
// followed or the requested records are no longer cached.
func (s *Service) Records(request *RecordsRequest, reply *RecordsReply) error {
	source := s.member.sources[request.Stream]
	if source == nil {
		return nil
	}
	if records, kept := source.Since(request.After, maxRecordsPerReply); kept {
		reply.Records = records
	}
	return nil
}
