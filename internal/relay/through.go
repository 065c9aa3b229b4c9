package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/oops"

	"cowslipgw/internal/forward"
	"cowslipgw/internal/peers"
	"cowslipgw/internal/replica"
)

// maxRelays is the number of other hosts that are tried for one request.
const maxRelays = 2

// maxHosts is more than the number of hosts of a deployment.
const maxHosts = 1000

var requestsRelayed = metrics.NewCounter("cowslipgw_requests_through_other_hosts_total")

// sendThrough has another host send the request. A further host is tried if nothing was sent.
func (s *Sender) sendThrough(ctx context.Context, r *Request, matches Matches) (answer *forward.Answer, through string, err error) {
	isDown := false
	hosts := s.relaysFor(r)
	if len(hosts) == 0 && r.MayPassOn != nil {
		// No host was asked, which says nothing about the replica.
		return nil, "", forward.ErrUnreachable
	}
	for _, h := range hosts {
		answer, err = s.sendTo(ctx, h, r, matches)
		switch {
		case err == nil:
			s.confirmLost(r.Replica)
			requestsRelayed.Inc()
			return answer, h.ID, nil
		case errors.Is(err, errDeclined):
		case errors.Is(err, errReplicaUnreachable):
			isDown = true
		case !errors.Is(err, forward.ErrUnreachable):
			return nil, h.ID, err
		}
		if ctx.Err() != nil {
			return nil, "", context.Cause(ctx)
		}
	}
	if isDown || !s.links.isStranded() {
		s.links.refute(r.Replica.Addr)
	}
	return nil, "", forward.ErrUnreachable
}

// relaysFor returns the hosts that are tried for a request.
func (s *Sender) relaysFor(r *Request) []peers.Host {
	if r.MayPassOn == nil {
		return s.hosts.Relays(r.Replica.Domain, maxRelays)
	}
	var allowed []peers.Host
	for _, h := range s.hosts.Relays(r.Replica.Domain, maxHosts) {
		if len(allowed) < maxRelays && r.MayPassOn(h) {
			allowed = append(allowed, h)
		}
	}
	return allowed
}

// sendTo has one host send the request.
func (s *Sender) sendTo(ctx context.Context, h peers.Host, r *Request, matches Matches) (*forward.Answer, error) {
	request := r.Request
	request.Header = r.Header.Clone()
	r.encode(request.Header)
	answer, err := s.exchange(ctx, h, &request, func(status int, header http.Header) bool {
		return outcomeOf(header) != Answered || matches(status, header)
	})
	if err != nil {
		return nil, err
	}
	outcome := outcomeOf(answer.Header)
	RemoveHeaders(answer.Header)
	if outcome == Answered {
		return answer, nil
	}
	if err := finish(answer); err != nil {
		return nil, err
	}
	return nil, outcome.err()
}

// exchange sends a request to another host.
func (s *Sender) exchange(ctx context.Context, h peers.Host, request *forward.Request, matches Matches) (*forward.Answer, error) {
	request.Addr = h.Relay
	request.Instance = h.ID + "/" + strconv.FormatInt(h.Incarnation, 10)
	return s.hostPool.Send(ctx, request, func(status int, header http.Header) bool {
		return header.Get(headerOutcome) != "" && matches(status, header)
	})
}

// reachableThrough reports whether a replica accepts a connection from another host, or no host
// knows that it does not.
func (s *Sender) reachableThrough(ctx context.Context, r replica.Record) bool {
	hosts := s.hosts.Relays(r.Domain, maxRelays)
	isDown := len(hosts) == 0 && !s.links.isStranded()
	for _, h := range hosts {
		header := make(http.Header)
		(&Request{Replica: r, Deadline: time.Now()}).encode(header)
		header.Set(headerCheck, "1")
		answer, err := s.exchange(ctx, h, &forward.Request{Method: http.MethodGet, URI: "/", Host: h.ID, Header: header},
			func(int, http.Header) bool { return true })
		if err != nil {
			continue
		}
		outcome := outcomeOf(answer.Header)
		if finish(answer) != nil {
			continue
		}
		switch outcome {
		case Reachable:
			s.confirmLost(r)
			s.links.reachedElsewhere(r.Addr, time.Now())
			return true
		case Unreachable:
			isDown = true
		}
	}
	if isDown {
		s.links.refute(r.Addr)
	}
	return !isDown
}

// confirmLost records that another host reaches a replica. Idle connections over a lost link may
// be dead without a sign of it.
func (s *Sender) confirmLost(r replica.Record) {
	if s.links.confirm(r.Addr) {
		s.pool.CloseIdle(r.Addr)
	}
}

// maxRefusalBody is the size of the largest body that is read of an answer without a replica's.
const maxRefusalBody = 4 << 10

// finish reads the rest of a short answer and closes it. It fails if the answer is truncated or too long: what it says
// then does not count.
func finish(answer *forward.Answer) error {
	defer answer.Close()
	n, err := io.Copy(io.Discard, io.LimitReader(answer, maxRefusalBody+1))
	switch {
	case err != nil:
		return oops.With("cause", err.Error()).Wrap(forward.ErrBroken)
	case n > maxRefusalBody:
		return oops.Wrapf(forward.ErrInvalidAnswer, "answer without a replica's is longer than %d bytes", maxRefusalBody)
	}
	return nil
}
