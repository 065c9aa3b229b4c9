package gateway

import (
	"context"
	"net/http"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/pacing"
	"cowslipgw/internal/relay"
	"cowslipgw/internal/replica"
)

// learnCold records what an answer says of the cold period of the replica. An answer that the request
// was misdirected comes from another replica, and one without a signature may do so.
func (g *Gateway) learnCold(r replica.Record, info AnswerInfo, status int, sent time.Time) {
	if info.Cold != nil && status != http.StatusMisdirectedRequest && (*info.Cold > 0 || info.Signed) {
		g.replicas.Cold(r, sent, *info.Cold)
	}
}

// reserveFor reserves the rate of a cold replica for a request of a host that has not done so: the
// host does not know that the replica is cold, or is of an earlier build. It reports whether the
// request may be sent now.
func (g *Gateway) reserveFor(ctx context.Context, received relay.Received, r replica.Record) bool {
	perSecond, isCold := g.replicas.ColdRate(r)
	if !isCold {
		return true
	}
	reply := g.pacing.Reserve(ctx, pacing.ReserveArgs{Replica: pacing.Replica{ID: r.ID, Incarnation: r.Born}, PerSecond: perSecond})
	if !reply.Granted {
		g.events.Log(event.ReplicaAtLimit, event.Fields{"request": received.ID, "replica": r.ID,
			"per_second": reply.PerSecond, "wait_ms": reply.Wait.Milliseconds(), "max_wait_ms": 0})
	}
	return reply.Granted
}
