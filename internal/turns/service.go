package turns

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/guard"
)

// serveTimeout returns the limit for the processing of a call from another host, which waits
// slightly longer.
func serveTimeout(waitMS int64) time.Duration {
	wait := time.Duration(min(waitMS, maxOwnerTimeout.Milliseconds())) * time.Millisecond
	if wait <= 0 {
		wait = minOwnerTimeout
	}
	return max(wait-replyMargin, 0)
}

// ServiceName is the name under which Service is registered with net/rpc.
const ServiceName = "Turns"

// Service handles the calls of other hosts.
type Service struct {
	owner  *Owner
	owns   func(partition int) bool
	events *event.Logger
	// end is when the host stops; nil unless it drains.
	end atomic.Pointer[time.Time]
}

// NewService returns the RPC service of an owner. Owns reports whether this host is the
// first candidate for a partition.
func NewService(owner *Owner, owns func(partition int) bool, events *event.Logger) *Service {
	return &Service{owner: owner, owns: owns, events: events}
}

// errStopping is returned for a call that was not done, since the host might stop before it has ended.
var errStopping = errors.New("host is shutting down")

// Drain refuses the calls that may take longer than until end, so that their callers go to the next
// owner at once, and writes the settlements that wait for others.
func (s *Service) Drain(end time.Time) {
	s.end.Store(&end)
	s.owner.Flush()
}

// outlasts reports whether a call that may take as long as limit does not end before the host stops.
func (s *Service) outlasts(limit time.Duration) bool {
	end := s.end.Load()
	return end != nil && time.Until(*end) < limit
}

// call runs one call within limit. A panic in it ends only this call; net/rpc would let it end
// the process.
func (s *Service) call(method string, limit time.Duration, f func(ctx context.Context) error) error {
	if s.outlasts(limit) {
		return errStopping
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return guard.Call(s.events, ServiceName+"."+method, func() error { return f(ctx) })
}

// Begin calls Owner.Begin.
func (s *Service) Begin(args BeginArgs, reply *BeginReply) error {
	return s.call("Begin", serveTimeout(args.WaitMS), func(ctx context.Context) error {
		*reply = s.owner.Begin(ctx, args)
		return nil
	})
}

// End calls Owner.End.
func (s *Service) End(args EndArgs, reply *EndReply) error {
	return s.call("End", serveTimeout(args.WaitMS), func(ctx context.Context) error {
		*reply = s.owner.End(ctx, args.Turn)
		return nil
	})
}

// Locate calls Owner.Locate.
func (s *Service) Locate(args LocateArgs, reply *LocateReply) error {
	return s.call("Locate", serveTimeout(args.WaitMS), func(ctx context.Context) error {
		*reply = s.owner.Locate(ctx, args, s.owns)
		return nil
	})
}

// History calls Owner.History.
func (s *Service) History(args HistoryArgs, reply *HistoryReply) error {
	return s.call("History", serveTimeout(args.WaitMS), func(ctx context.Context) error {
		*reply = s.owner.History(ctx, args)
		return nil
	})
}

// Keep calls Owner.Keep.
func (s *Service) Keep(args KeepArgs, reply *KeepReply) error {
	return s.call("Keep", backupTimeout, func(context.Context) error {
		reply.Kept = s.owner.Keep(args)
		return nil
	})
}

// errNotBackup is returned if a Seal call names another run of this host.
var errNotBackup = errors.New("not the backup that is asked for its copies")

// Seal calls Owner.Seal.
func (s *Service) Seal(args SealArgs, reply *SealReply) error {
	return s.call("Seal", backupTimeout, func(context.Context) error {
		got, isBackup := s.owner.Seal(args)
		if !isBackup {
			return errNotBackup
		}
		*reply = got
		return nil
	})
}

// errNotWriter is returned if a Release call names the writer ID of another owner.
var errNotWriter = errors.New("not the writer that is asked to release")

// Release calls Owner.Release.
func (s *Service) Release(args ReleaseArgs, reply *ReleaseReply) error {
	return s.call("Release", releaseTimeout, func(context.Context) error {
		got, isWriter := s.owner.Release(args)
		if !isWriter {
			return errNotWriter
		}
		*reply = got
		return nil
	})
}
