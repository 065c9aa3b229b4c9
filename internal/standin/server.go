package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"cowslipgw/internal/transport"
)

// headerTimeout is the time a client has to send its request headers.
const headerTimeout = 10 * time.Second

// Server is the HTTP server of one stand-in.
type Server struct {
	listener net.Listener
	http     *http.Server
	done     chan error
}

// Listen serves handler on an "ip:port" address of network until Close or
// Shutdown is called. Port 0 selects a free port.
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

// Shutdown stops accepting connections and waits for active requests. If ctx is
// done before they complete, it closes their connections.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	return errors.Join(err, s.wait())
}

// Close closes all connections immediately, as if the process had crashed.
func (s *Server) Close() error {
	return errors.Join(s.http.Close(), s.wait())
}

// wait returns the error from http.Server.Serve, or nil after a regular close. It
// can be called more than once.
func (s *Server) wait() error {
	err := <-s.done
	s.done <- err
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
