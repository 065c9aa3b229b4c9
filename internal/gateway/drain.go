package gateway

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cowslipgw/internal/event"
)

// finalAnswerTime is how long before the end of a drain the requests in progress are given up, so
// that their callers still get a complete answer.
const finalAnswerTime = 200 * time.Millisecond

// stoppingReason is the reason of refusals because the host drains.
const stoppingReason = "host is shutting down"

var requestsRefusedStopping = metrics.NewCounter(`cowslipgw_requests_refused_for_shutdown_total`)

// Drain starts draining: the gateway closes each connection after its next answer and refuses
// what may take longer than until end. What is still in progress shortly before end is given up.
func (g *Gateway) Drain(end time.Time) {
	lastAnswer := end.Add(-finalAnswerTime)
	if !g.drainEnd.CompareAndSwap(nil, &lastAnswer) {
		return
	}
	time.AfterFunc(time.Until(lastAnswer), g.giveUpAll)
}

// giveUpAll ends what is in progress.
func (g *Gateway) giveUpAll() {
	for _, o := range g.progress.list() {
		g.events.Log(event.OutlastsDrain, event.Fields{"kind": o.kind, "request": o.id, "ms": time.Since(o.start).Milliseconds()})
	}
	g.giveUp()
}

// Draining reports whether the gateway is draining.
func (g *Gateway) Draining() bool { return g.drainEnd.Load() != nil }

// outlasts reports whether something that may last until deadline does not end before a drain
// does.
func (g *Gateway) outlasts(deadline time.Time) bool {
	end := g.drainEnd.Load()
	return end != nil && deadline.After(*end)
}

// Active returns the number of requests and settlements in progress.
func (g *Gateway) Active() int { return g.progress.count() }

// refuseStopping refuses a request that may outlast the drain.
func refuseStopping() *refusal {
	requestsRefusedStopping.Inc()
	return &refusal{status: http.StatusServiceUnavailable, reason: stoppingReason, retryAfter: retryOtherHost}
}

// closeAfterAnswer closes the caller's connection after the answer if the gateway drains.
func (x *exchange) closeAfterAnswer() {
	if x.g.Draining() {
		x.w.Header().Set("Connection", "close")
	}
}
