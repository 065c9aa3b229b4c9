package turns

import (
	"context"
	"errors"
)

// serveTimeout limits the work on a call of another host, which waits a little longer.
const serveTimeout = homeTimeout - answerMargin

// ServiceName is the name under which Service is registered with net/rpc.
const ServiceName = "Turns"

// Service answers the calls of other hosts.
type Service struct {
	home *Home
	owns func(partition int) bool
}

// NewService returns the service of home. Owns reports whether this host is the first
// candidate for a partition.
func NewService(home *Home, owns func(partition int) bool) *Service {
	return &Service{home: home, owns: owns}
}

// Begin calls Home.Begin.
func (s *Service) Begin(args BeginArgs, reply *BeginReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	*reply = s.home.Begin(ctx, args)
	return nil
}

// End calls Home.End.
func (s *Service) End(args EndArgs, reply *EndReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	reply.Kept = s.home.End(ctx, args.Turn)
	return nil
}

// Locate calls Home.Locate.
func (s *Service) Locate(args LocateArgs, reply *LocateReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), locateTimeout)
	defer cancel()
	*reply = s.home.Locate(ctx, args, s.owns)
	return nil
}

// errNotWriter: a Release was meant for another home.
var errNotWriter = errors.New("not the writer that is asked to release")

// Release calls Home.Release.
func (s *Service) Release(args ReleaseArgs, reply *ReleaseReply) error {
	got, isWriter := s.home.Release(args)
	if !isWriter {
		return errNotWriter
	}
	*reply = got
	return nil
}
