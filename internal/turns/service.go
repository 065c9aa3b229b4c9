package turns

import (
	"context"
	"errors"
)

// serveTimeout limits the processing of a call from another host, which waits slightly
// longer.
const serveTimeout = ownerTimeout - replyMargin

// ServiceName is the name under which Service is registered with net/rpc.
const ServiceName = "Turns"

// Service handles the calls of other hosts.
type Service struct {
	owner *Owner
	owns  func(partition int) bool
}

// NewService returns the RPC service of an owner. Owns reports whether this host is the
// first candidate for a partition.
func NewService(owner *Owner, owns func(partition int) bool) *Service {
	return &Service{owner: owner, owns: owns}
}

// Begin calls Owner.Begin.
func (s *Service) Begin(args BeginArgs, reply *BeginReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	*reply = s.owner.Begin(ctx, args)
	return nil
}

// End calls Owner.End.
func (s *Service) End(args EndArgs, reply *EndReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	reply.Kept = s.owner.End(ctx, args.Turn)
	return nil
}

// Locate calls Owner.Locate.
func (s *Service) Locate(args LocateArgs, reply *LocateReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), locateTimeout)
	defer cancel()
	*reply = s.owner.Locate(ctx, args, s.owns)
	return nil
}

// errNotWriter is returned if a Release call names the writer ID of another owner.
var errNotWriter = errors.New("not the writer that is asked to release")

// Release calls Owner.Release.
func (s *Service) Release(args ReleaseArgs, reply *ReleaseReply) error {
	got, isWriter := s.owner.Release(args)
	if !isWriter {
		return errNotWriter
	}
	*reply = got
	return nil
}
