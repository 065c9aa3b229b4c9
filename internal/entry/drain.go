package entry

import (
	"context"
	"net"
	"net/http"
	"time"
)

// drainCheck is how often a drain looks whether all connections are closed.
const drainCheck = 50 * time.Millisecond

// StartDrain makes callers use other hosts: this host no longer names itself in the
// list of entry hosts and closes each connection after its next answer. It still
// answers. Idle connections stay open, since a caller may be sending on them.
func (s *Server) StartDrain() {
	s.draining.Store(true)
}

// Shutdown drains and returns when all calls have ended, also those whose caller has
// gone. Callers have the life of the list of entry hosts to move their connections;
// then idle ones are closed. Nothing is closed early but when ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.StartDrain()
	s.awaitConns(ctx)
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
		return err
	}
	done := make(chan struct{})
	go func() {
		s.carried.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// awaitConns waits until no connection is open, for at most the life of the list of
// entry hosts.
func (s *Server) awaitConns(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, s.options.Limits.HostsTTL)
	defer cancel()
	ticker := time.NewTicker(drainCheck)
	defer ticker.Stop()
	for s.conns.Load() > 0 {
		select {
		case <-limited.Done():
			return
		case <-ticker.C:
		}
	}
}

// trackConn counts the open connections and starts to record the head of the next
// request.
func (s *Server) trackConn(conn net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.conns.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.conns.Add(-1)
	case http.StateIdle:
		if recorder, ok := conn.(*headRecorder); ok {
			recorder.reset()
		}
	}
}

// Close breaks all connections.
func (s *Server) Close() {
	_ = s.http.Close()
}
