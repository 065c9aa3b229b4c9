package entry

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// drainCheck is how often a drain looks whether it may go on.
	drainCheck = 50 * time.Millisecond
	// listMargin is how long after this host began to leave another host may still name
	// it in the list of entry hosts, and a list is on its way to a caller. A host that
	// reads the membership records from its peers has them a heartbeat later.
	listMargin = 2 * time.Second
)

// StartDrain makes callers use other hosts: this host no longer names itself in the
// list of entry hosts and closes each connection after its next answer. It still
// answers. Idle connections stay open, since a caller may be sending on them.
func (s *Server) StartDrain() {
	s.draining.Store(true)
}

// Shutdown drains and returns when all calls have ended, also those whose caller has
// gone. A caller may open a connection as long as its list of entry hosts names this
// host, so nothing is closed before the life of the list is over, unless ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.StartDrain()
	s.awaitLists(ctx)
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

// awaitLists waits until no caller has a list that names this host. Without another
// host that takes callers, it waits for open connections only.
func (s *Server) awaitLists(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, s.options.Limits.HostsTTL+listMargin)
	defer cancel()
	ticker := time.NewTicker(drainCheck)
	defer ticker.Stop()
	for s.conns.Load() > 0 || len(s.takingCallers(s.options.Hosts.View())) > 0 {
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
