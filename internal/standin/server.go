package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"cowslipgw/internal/transport"
)

// headerTimeout bounds how long a client may take to send its request headers.
const headerTimeout = 10 * time.Second

// Server serves the handler of one stand-in.
type Server struct {
	listener net.Listener
	http     *http.Server
	done     chan error
}

// Listen serves handler on an "ip:port" address of network until Close or
// Shutdown. Port 0 picks a free one.
func Listen(ctx context.Context, network transport.Network, address string, handler http.Handler) (*Server, error) {
	listener, err := network.Listen(ctx, address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		listener: listener,
		http:     &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout},
		done:     make(chan error, 1),
	}
	go func() { s.done <- s.http.Serve(listener) }()
	return s, nil
}

// Address returns the "ip:port" that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Shutdown stops accepting and waits for running requests until ctx ends; then
// it breaks their connections.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	return errors.Join(err, s.wait())
}

// Close breaks all connections, as when the process dies.
func (s *Server) Close() error {
	return errors.Join(s.http.Close(), s.wait())
}

func (s *Server) wait() error {
	err := <-s.done
	s.done <- err
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
