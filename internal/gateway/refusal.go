package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// refusal is an answer of the system's own.
type refusal struct {
	status int
	reason string
	// retryAfter, if set, is when the caller may come back.
	retryAfter time.Duration
}

// Pauses after which a refused caller is told to come back.
const (
	// retryOther: another host may serve the request at once.
	retryOther = 20 * time.Millisecond
	// retrySoon: a replica or a home is expected to answer again.
	retrySoon = 100 * time.Millisecond
	// retryStore: no host reaches the store, whose outages last seconds.
	retryStore = time.Second
)

// unavailable refuses a request that this host cannot decide on without the store.
func (g *Gateway) unavailable(reason string, otherwise time.Duration) *refusal {
	if !g.storeElsewhere() && g.config.Lost() {
		otherwise = retryStore
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: otherwise}
}

// keysStale refuses a request because its key may have been withdrawn.
func (g *Gateway) keysStale() *refusal {
	return g.unavailable("configuration is unconfirmed", retryOther)
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
	// A caller that has left reads no refusal.
	_, _ = w.Write(body)
}
