package control

import (
	"net"
	"net/rpc"
	"sync"

	"github.com/samber/oops"
)

// Server serves the RPCs of other hosts.
type Server struct {
	rpc    *rpc.Server
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	done   sync.WaitGroup
}

// NewServer returns a server without registered services.
func NewServer() *Server {
	return &Server{rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{})}
}

// Register registers a service under the given name. Its methods must have the signature
// that net/rpc requires.
func (s *Server) Register(name string, service any) error {
	if err := s.rpc.RegisterName(name, service); err != nil {
		return oops.In("control").With("service", name).Wrapf(err, "register service")
	}
	return nil
}

// Serve accepts connections and serves them, until the listener or the server is closed.
func (s *Server) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if !s.add(conn) {
			_ = conn.Close()
			return
		}
		go func() {
			defer s.remove(conn)
			s.rpc.ServeCodec(newServerCodec(conn))
		}()
	}
}

// Close closes all connections and waits for their goroutines to end.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
}

// add registers a connection. It returns false if the server is closed.
func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = struct{}{}
	s.done.Add(1)
	return true
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	s.done.Done()
}
