package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// refusal is an error response that originates from the gateway rather than a replica.
type refusal struct {
	status int
	reason string
	// detail is logged beside the reason and not sent to the caller.
	detail string
	// retryAfter, if set, is sent as the Retry-After header.
	retryAfter time.Duration
	// bodyUnread is set if the caller may still be sending the body.
	bodyUnread bool
}

// Values of the Retry-After header.
const (
	// retryOtherHost: another host may be able to serve the request immediately.
	retryOtherHost = 20 * time.Millisecond
	// retrySoon: a replica or a partition owner is expected to answer again shortly.
	retrySoon = 100 * time.Millisecond
	// retryMemory: long requests in progress end within a few seconds.
	retryMemory = 500 * time.Millisecond
	// retryStoreOutage: no host reaches the store, whose outages last seconds.
	retryStoreOutage = time.Second
)

// refuseUnavailable refuses a request that this host cannot decide without the store.
// Retry-After is retryStoreOutage if no live host is known to reach the store, and
// otherwise the given delay.
func (g *Gateway) refuseUnavailable(reason string, otherwise time.Duration) *refusal {
	if !g.storeReachableElsewhere() && g.config.StoreLost() {
		otherwise = retryStoreOutage
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: otherwise}
}

// refuseStaleKeys refuses a request because its key may have been revoked.
func (g *Gateway) refuseStaleKeys() *refusal {
	return g.refuseUnavailable("configuration is unconfirmed", retryOtherHost)
}

// write sends the refusal as JSON.
func (f refusal) write(w http.ResponseWriter) {
	body, err := json.Marshal(map[string]string{"error": f.reason})
	if err != nil {
		panic("refusal cannot be encoded: " + err.Error())
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if f.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(f.status)
	// A write error means that the caller has disconnected.
	_, _ = w.Write(body)
}
