package control

import (
	"net"
	"net/rpc"
	"sync"

	"github.com/samber/oops"
)

// Server answers the calls of other hosts.
type Server struct {
	rpc    *rpc.Server
	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
	done   sync.WaitGroup
}

// NewServer returns a server without services.
func NewServer() *Server {
	return &Server{rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{})}
}

// Register adds a service under the given name. Its methods have the form that
// net/rpc asks for.
func (s *Server) Register(name string, service any) error {
	if err := s.rpc.RegisterName(name, service); err != nil {
		return oops.In("control").With("service", name).Wrapf(err, "register a service")
	}
	return nil
}

// Serve accepts connections until the listener is closed.
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

// Close ends every connection and waits for their goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
}

// add records a connection; false means that the server is closed.
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
