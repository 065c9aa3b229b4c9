package peers

import (
	"context"
	"net"
	"net/rpc"
	"sync"

	"cowslipgw/internal/event"
	"cowslipgw/internal/guard"
)

// Server answers the calls of other hosts.
type Server struct {
	rpc    *rpc.Server
	events *event.Logger

	mu       sync.Mutex
	stopped  bool
	listener net.Listener
	conns    map[net.Conn]struct{}
	// serving counts the connections in conns.
	serving sync.WaitGroup
}

// NewServer returns a server for the services that are registered with server.
func NewServer(server *rpc.Server, events *event.Logger) *Server {
	return &Server{rpc: server, events: events, conns: make(map[net.Conn]struct{})}
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
		if !s.add(conn) {
			// The caller goes to another host.
			_ = conn.Close()
			continue
		}
		go guard.Run(s.events, "connection of another host", func() {
			defer s.remove(conn)
			s.rpc.ServeCodec(newCodec(conn))
		})
	}
}

// add registers a connection. It reports false after Shutdown.
func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.conns[conn] = struct{}{}
	s.serving.Add(1)
	return true
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	s.serving.Done()
}

// Shutdown accepts no further calls and waits until those in progress are answered, or until ctx ends.
// Callers find their connection closed and go to the next host at once.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stopped = true
	if s.listener != nil {
		// An error means that it is closed already.
		_ = s.listener.Close()
	}
	for conn := range s.conns {
		if half, ok := conn.(interface{ CloseRead() error }); ok {
			// net/rpc closes a connection whose calls have ended once it can read no more.
			_ = half.CloseRead()
		}
	}
	s.mu.Unlock()
	answered := make(chan struct{})
	go func() {
		s.serving.Wait()
		close(answered)
	}()
	select {
	case <-answered:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
