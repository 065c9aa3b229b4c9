package quota

import (
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/guard"
)

// ServiceName is the name under which Service is registered with net/rpc.
const ServiceName = "Quota"

// TakeArgs asks the owner of a client account's bucket to admit one request.
type TakeArgs struct {
	Account string
	// Version is the configuration version that Rate and Burst come from.
	Version     int64
	Rate, Burst float64
	Request     Request
	// Host is the host that asks, and Elsewhere the requests of the account that it had admitted by
	// others than the callee in the window. Age is how long the
	// host has run, if that is less than a window. Hosts of earlier builds set none of them.
	Host      string        `cbor:",omitempty"`
	Elsewhere []PastGrants  `cbor:",omitempty"`
	Age       time.Duration `cbor:",omitempty"`
}

// PastGrants are the requests that one run of a host has admitted for the caller of Take in the past window, in
// parts of equal length; the first one is the newest.
type PastGrants struct {
	Host        string      `cbor:"1,keyasint,omitempty"`
	Incarnation int64       `cbor:"2,keyasint,omitempty"`
	Counts      []PastCount `cbor:"3,keyasint,omitempty"`
}

// PastCount is the number of requests that were admitted in a part of the past window, and the mean number of
// hosts that were live then.
type PastCount struct {
	Admitted uint32 `cbor:"1,keyasint,omitempty"`
	Hosts    uint32 `cbor:"2,keyasint,omitempty"`
}

// TakeReply is the response to TakeArgs. RetryAfter is set if the request is not admitted.
type TakeReply struct {
	Admitted   bool
	RetryAfter time.Duration
}

// Service handles the calls of other hosts.
type Service struct {
	limiter *Limiter
	events  *event.Logger
}

// NewService returns the RPC service of limiter.
func NewService(limiter *Limiter, events *event.Logger) *Service {
	return &Service{limiter: limiter, events: events}
}

// Take calls Limiter.Take as the owner of the bucket.
func (s *Service) Take(args TakeArgs, reply *TakeReply) error {
	return guard.Call(s.events, ServiceName+".Take", func() error {
		*reply = s.limiter.Take(args, true)
		return nil
	})
}

// GiveBackReply is the empty response to GiveBack, which cannot fail.
type GiveBackReply struct{}

// GiveBack calls Limiter.Refund as the owner of the bucket.
func (s *Service) GiveBack(args TakeArgs, _ *GiveBackReply) error {
	return guard.Call(s.events, ServiceName+".GiveBack", func() error {
		s.limiter.Refund(args, true)
		return nil
	})
}
