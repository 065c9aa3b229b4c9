package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/forward"
	"cowslipgw/internal/replica"
)

// Matches reports whether an answer belongs to a request; see forward.Pool.Send.
type Matches = func(status int, h http.Header) bool

// Sender sends requests to replicas, over the host's own links or through other hosts. Its methods
// are safe for concurrent use.
type Sender struct {
	hosts Hosts
	// pool has the connections to replicas, and hostPool those to other hosts.
	pool     *forward.Pool
	hostPool *forward.Pool
	links    *links
	watch    watch
	events   *event.Logger
}

// NewSender returns a sender that uses the given connections to replicas and to other hosts.
func NewSender(hosts Hosts, pool, hostPool *forward.Pool, events *event.Logger) *Sender {
	return &Sender{hosts: hosts, pool: pool, hostPool: hostPool, links: newLinks(events), events: events}
}

// Stranded reports whether this host seems to have lost its own links to all replicas.
func (s *Sender) Stranded() bool { return s.links.isStranded() }

// LinkLost reports whether this host's own link to a replica is lost although another host reaches
// the replica.
func (s *Sender) LinkLost(r replica.Record) bool { return s.links.isLost(r.Addr) }

// Send sends a request to a replica and returns the answer once its headers have arrived, as
// forward.Pool.Send does. While the host's own link to the replica is lost, another host passes
// the request on. Through is the ID of that host.
func (s *Sender) Send(ctx context.Context, r *Request, matches Matches) (answer *forward.Answer, through string, err error) {
	answer, err = s.sendDirect(ctx, r, matches)
	if !errors.Is(err, forward.ErrUnreachable) || ctx.Err() != nil {
		return answer, "", err
	}
	return s.sendThrough(ctx, r, matches)
}

// sendDirect is Send over the host's own link only. It returns forward.ErrUnreachable if the link
// is lost.
func (s *Sender) sendDirect(ctx context.Context, r *Request, matches Matches) (*forward.Answer, error) {
	addr := r.Replica.Addr
	if !s.ready(ctx, r.Replica) {
		return nil, forward.ErrUnreachable
	}
	request := r.Request
	request.ID, request.Addr, request.Instance = r.ID, addr, r.Replica.ID
	answer, err := s.pool.Send(ctx, &request, matches)
	switch {
	case err == nil || errors.Is(err, forward.ErrInvalidAnswer):
		s.links.heard(addr, time.Now())
	case errors.Is(err, forward.ErrUnreachable) && ctx.Err() == nil:
		s.links.failed(addr, time.Now())
	}
	return answer, err
}

// Reachable reports whether a replica accepts a connection from this host or from another one, or
// nothing is known of that because the hosts that were asked have lost their own links, too.
func (s *Sender) Reachable(ctx context.Context, r replica.Record) bool {
	if s.reachableDirect(ctx, r) {
		return true
	}
	return s.reachableThrough(ctx, r)
}

// reachableDirect reports whether a replica accepts a connection from this host.
func (s *Sender) reachableDirect(ctx context.Context, r replica.Record) bool {
	return s.links.use(r, time.Now()) != unusable && s.check(ctx, r)
}

// ReachableFor returns for another host whether a replica accepts a connection from this host.
// Unreachable is said only if another replica does, so that not this host's own links are lost.
func (s *Sender) ReachableFor(ctx context.Context, r replica.Record) Outcome {
	if s.reachableDirect(ctx, r) {
		return Reachable
	}
	return s.failureFor(ctx, r)
}

// failureFor returns for another host why no connection to a replica could be opened.
func (s *Sender) failureFor(ctx context.Context, r replica.Record) Outcome {
	if s.links.isLost(r.Addr) {
		return Declined
	}
	if other, ok := s.links.lastHeardExcept(r.Addr); ok && !s.check(ctx, other) {
		return Declined
	}
	return Unreachable
}

// SendFor sends a request of another host over this host's own link only.
func (s *Sender) SendFor(ctx context.Context, r *Request, matches Matches) (*forward.Answer, Outcome) {
	answer, err := s.sendDirect(ctx, r, matches)
	if errors.Is(err, forward.ErrUnreachable) {
		return nil, s.failureFor(ctx, r.Replica)
	}
	return answer, outcomeOfError(err)
}

// ready reports whether the link to a replica can be used. If it is in doubt, it is checked first.
func (s *Sender) ready(ctx context.Context, r replica.Record) bool {
	switch s.links.use(r, time.Now()) {
	case usable:
		return true
	case doubtful:
		return s.check(ctx, r)
	default:
		return false
	}
}

// check opens a connection over a link and reports whether that worked.
func (s *Sender) check(ctx context.Context, r replica.Record) bool {
	return s.checkResult(ctx, r) == opened
}

// checkResult opens a connection over a link, which is kept, unless a check is in progress already.
func (s *Sender) checkResult(ctx context.Context, r replica.Record) checkResult {
	c, isNew := s.links.beginCheck(r.Addr, time.Now())
	if isNew {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
			defer cancel()
			err := s.pool.Open(ctx, r.Addr, r.ID)
			now := time.Now()
			s.links.endCheck(r.Addr, c, resultOf(err, now.Sub(c.started)), now)
		}()
	}
	select {
	case <-c.done:
		return c.result
	case <-ctx.Done():
		return inconclusive
	}
}
