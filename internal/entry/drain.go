package entry

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// drainPollInterval is how often a drain checks whether it may proceed.
	drainPollInterval = 50 * time.Millisecond
	// hostListMargin is how long after this host started to drain another host may
	// still include it in the list of entry hosts, plus the time that such a list takes
	// to reach a caller. A host that reads the membership records from its peers
	// receives them up to a heartbeat later.
	hostListMargin = 2 * time.Second
)

// StartDrain directs callers to other hosts: this host no longer includes itself in the
// list of entry hosts and closes each connection after the next response. It continues
// to serve requests. Idle connections stay open, since a caller may be sending a
// request on them.
func (s *Server) StartDrain() {
	s.draining.Store(true)
}

// Shutdown drains the server and returns when all calls have ended, including those
// whose caller has disconnected. A caller may open a connection as long as its list of
// entry hosts includes this host, so Shutdown closes nothing before such lists have
// expired, unless ctx ends first.
func (s *Server) Shutdown(ctx context.Context) error {
	s.StartDrain()
	s.awaitHostListExpiry(ctx)
	if err := s.http.Shutdown(ctx); err != nil {
		_ = s.http.Close()
		return err
	}
	done := make(chan struct{})
	go func() {
		s.detached.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// awaitHostListExpiry waits until no caller has a list of entry hosts that includes
// this host. If no other host accepts callers, it returns as soon as all connections
// are closed.
func (s *Server) awaitHostListExpiry(ctx context.Context) {
	waitCtx, cancel := context.WithTimeout(ctx, s.options.Limits.HostsTTL+hostListMargin)
	defer cancel()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.conns.Load() > 0 || len(s.acceptingHosts(s.options.Hosts.View())) > 0 {
		select {
		case <-waitCtx.Done():
			return
		case <-ticker.C:
		}
	}
}

// trackConn counts the open connections. When a connection becomes idle, it resets the
// head recorder for the next request.
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

// Close closes all connections immediately.
func (s *Server) Close() {
	_ = s.http.Close()
}
