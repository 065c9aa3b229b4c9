package peers

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/guard"
	"cowslipgw/internal/intake"
)

// shutdownPoll is how often Shutdown checks whether the calls in progress are answered.
const shutdownPoll = 5 * time.Millisecond

// Server answers the calls of other hosts.
type Server struct {
	rpc    *rpc.Server
	events *event.Logger
	// memoryOf returns the memory for calls of an address; nil for no limit.
	memoryOf func(addr string) *intake.Memory

	mu       sync.Mutex
	stopped  bool
	listener net.Listener
	// inProgress is the number of calls without a reply.
	inProgress int
}

// NewServer returns a server for the services that are registered with server.
func NewServer(server *rpc.Server, events *event.Logger) *Server {
	return &Server{rpc: server, events: events}
}

// SetMemory limits the memory of the calls that are being received. memoryOf returns the memory for
// calls of an IP address. It must be called before Serve.
func (s *Server) SetMemory(memoryOf func(addr string) *intake.Memory) { s.memoryOf = memoryOf }

// newCodec returns the codec of an accepted connection.
func (s *Server) newCodec(conn net.Conn) *serverCodec {
	c := &serverCodec{codec: newCodec(conn), server: s}
	if s.memoryOf != nil {
		host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
		if err != nil {
			host = conn.RemoteAddr().String()
		}
		c.memory = s.memoryOf(host)
	}
	return c
}

// Serve answers the calls on a listener until it is closed.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go guard.Run(s.events, "connection of another host", func() {
			s.rpc.ServeCodec(s.newCodec(conn))
		})
	}
}

// begin records a call. It reports false after Shutdown.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress++
	return !s.stopped
}

// end records that a call was answered.
func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inProgress--
}

// stop accepts no further calls.
func (s *Server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.listener != nil {
		// An error means that it is closed already.
		_ = s.listener.Close()
	}
}

func (s *Server) isIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inProgress == 0
}

// Shutdown waits until the calls in progress are answered, or until ctx ends. Further ones are refused
// as not executed on the connections that are open, so that their callers go to the next host at once.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stop()
	for !s.isIdle() {
		select {
		case <-time.After(shutdownPoll):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
