package quota

import "time"

// ServiceName is the name under which Service is registered with net/rpc.
const ServiceName = "Quota"

// TakeArgs ask the owner of a client account's bucket for one request.
type TakeArgs struct {
	Account string
	// Version is the configuration that Rate and Burst are from.
	Version     int64
	Rate, Burst float64
	Request     Request
}

// TakeReply answers TakeArgs. RetryAfter counts if the request is not admitted.
type TakeReply struct {
	Admitted   bool
	RetryAfter time.Duration
}

// Service answers the calls of other hosts.
type Service struct{ limiter *Limiter }

// NewService returns the service of limiter.
func NewService(limiter *Limiter) *Service { return &Service{limiter: limiter} }

// Take calls Limiter.Take as the owner of the bucket.
func (s *Service) Take(args TakeArgs, reply *TakeReply) error {
	*reply = s.limiter.Take(args, true)
	return nil
}

// GiveBackReply is empty: a request is taken back in any case.
type GiveBackReply struct{}

// GiveBack calls Limiter.GiveBack as the owner of the bucket.
func (s *Service) GiveBack(args TakeArgs, _ *GiveBackReply) error {
	s.limiter.GiveBack(args, true)
	return nil
}
