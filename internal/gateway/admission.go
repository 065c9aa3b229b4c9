package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"

	"cowslipgw/internal/quota"
	"cowslipgw/internal/route"
)

// maxRateWait is how long a request of a running program waits for its account's rate. A
// rejection would cost the caller one of few retries, and then the whole program.
const maxRateWait = 300 * time.Millisecond

// writeGrace is how long after the deadline of a request, or after an answer that is late is ready,
// its end may be written.
const writeGrace = time.Second

// discardTimeout limits the time in which the rest of a body may arrive if its request was refused
// before its deadline was known.
const discardTimeout = 10 * time.Second

// defaultBodyLimit is the maximum body size if the configuration sets none.
const defaultBodyLimit = 4 << 20

// admit decides whether a request may run: route, API key, body size and rate limit.
func (x *exchange) admit(r *http.Request) *refusal {
	call, err := x.g.codec.Decode(r)
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: err.Error(), bodyUnread: true}
	}
	x.call = call
	callerConnOf(r.Context()).setRequest(call.ID)
	x.operation.identify(call.ID)
	table := x.g.config.Table()
	if table == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no configuration yet",
			retryAfter: retryOtherHost, bodyUnread: true}
	}
	if f := x.authorize(r.Context(), table); f != nil {
		f.bodyUnread = true
		return f
	}
	x.deadline = x.start.Add(x.timeout())
	x.limitWrites(x.deadline)
	if x.g.outlasts(x.deadline) {
		f := refuseStopping()
		f.bodyUnread = true
		return f
	}
	if hasBody(r) {
		x.limitReads(x.deadline)
		if f := x.readBody(r); f != nil {
			f.bodyUnread = true
			return f
		}
		// The server keeps reading to notice that the caller disconnects.
		x.limitReads(time.Time{})
	}
	// Reading the body may have taken long, so check again that the key has not gone stale.
	if x.account != nil && !x.g.config.KeysUsable() {
		return x.g.refuseStaleKeys()
	}
	if f := x.refuseQuarantined(); f != nil {
		return f
	}
	if x.g.outlasts(x.deadline) {
		return refuseStopping()
	}
	if x.ratedAfterBegin() {
		return nil
	}
	return x.admitRate(r.Context(), x.route.StoresTurns && x.call.PreviousTurn == "")
}

// bodyLimit returns the size of the longest body that is accepted, in bytes.
func (x *exchange) bodyLimit() int64 {
	if x.table != nil && x.table.Limits.BodyBytes > 0 {
		return x.table.Limits.BodyBytes
	}
	return defaultBodyLimit
}

// readBody reads the body of the request.
func (x *exchange) readBody(r *http.Request) *refusal {
	limit := x.bodyLimit()
	tooLong := &refusal{status: http.StatusRequestEntityTooLarge, reason: "body is too large"}
	if r.ContentLength > limit {
		return tooLong
	}
	x.memory.account = x.accountName()
	var err error
	x.body, err = readBody(http.MaxBytesReader(x.w, r.Body, limit), r.ContentLength, &x.memory)
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLarge):
		return tooLong
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{status: http.StatusRequestTimeout, reason: "body did not arrive in time"}
	case errors.Is(err, errNoMemory):
		return refuseNoMemory()
	}
	return &refusal{status: http.StatusBadRequest, reason: "body could not be read"}
}

// hasBody reports whether a request has a body.
func hasBody(r *http.Request) bool { return r.Body != nil && r.Body != http.NoBody }

// refuseEarly sends a refusal at once, while the caller may still be sending the body.
func (x *exchange) refuseEarly(r *http.Request, f refusal) {
	connection := http.NewResponseController(x.w)
	// Without it, the server would wait for the body, or close the connection. Errors of both mean
	// that the connection does not support it, or that the caller has disconnected.
	_ = connection.EnableFullDuplex()
	callerConnOf(r.Context()).setLinger(true)
	// After a failed read, net/http cancels all later requests on the connection.
	if r.Context().Err() != nil || f.status == http.StatusRequestEntityTooLarge {
		x.w.Header().Set("Connection", "close")
	}
	x.refuse(f)
	_ = connection.Flush()
	// A caller that expects 100 Continue waits with the body.
	x.discardsBody = r.Header.Get("Expect") == ""
}

// discardBody reads the rest of the body of a request that was refused early: many callers read
// the answer only after they have sent all of it, and would find the connection reset. If the body
// does not end, it closes the connection: the rest must not be taken for the next request.
func (x *exchange) discardBody(r *http.Request) {
	deadline := x.deadline
	switch soon := time.Now().Add(lingerTimeout); {
	case x.g.Draining(), !deadline.IsZero() && deadline.Before(soon):
		deadline = soon
	case deadline.IsZero():
		deadline = time.Now().Add(discardTimeout)
	}
	x.limitReads(deadline)
	n, err := io.Copy(io.Discard, io.LimitReader(r.Body, x.bodyLimit()+1))
	if err != nil || n > x.bodyLimit() {
		panic(http.ErrAbortHandler)
	}
	callerConnOf(r.Context()).setLinger(false)
}

// refuseNoMemory refuses a request that would exceed the memory for long requests.
func refuseNoMemory() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "too many long requests in progress", retryAfter: retryMemory}
}

// refuseQuarantined refuses a request that crashes the replicas which run it.
func (x *exchange) refuseQuarantined() *refusal {
	if !x.g.quarantine.HasSuspects() {
		return nil
	}
	remaining, isRefused := x.g.quarantine.Refused(x.digest())
	if !isRefused {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "request ended the replicas that ran it",
		detail: "request is in quarantine", retryAfter: remaining}
}

// timeout returns how long the request may take: the caller's timeout or the route's, whichever
// is shorter.
func (x *exchange) timeout() time.Duration {
	if x.call.Timeout > 0 && (x.route.Timeout <= 0 || x.call.Timeout < x.route.Timeout) {
		return x.call.Timeout
	}
	return x.route.Timeout
}

// limitReads ends reads of the caller's body at the deadline. Each request sets it anew.
func (x *exchange) limitReads(deadline time.Time) {
	// An error means that the connection has no deadlines, as in tests without a network.
	_ = http.NewResponseController(x.w).SetReadDeadline(deadline)
}

// limitWrites ends writes to a caller that does not read, a little after the deadline. Each request
// sets it anew.
func (x *exchange) limitWrites(deadline time.Time) {
	_ = http.NewResponseController(x.w).SetWriteDeadline(deadline.Add(writeGrace))
}

// beforeWrite is called before a part of the answer is written. If the host was paused until after
// the deadline, the caller still gets what is ready.
func (x *exchange) beforeWrite() {
	if now := time.Now(); !x.deadline.IsZero() && now.After(x.deadline) {
		x.limitWrites(now)
	}
}

// ratedAfterBegin reports whether the request is charged to the client account's quota only once its
// turn is granted: on routes that store no turns, only the owner of the program knows whether this is
// its first turn. Where other routes store turns, the expected number of requests of a program holds
// only for those, since tool calls do not tell which route the turns of their program have.
func (x *exchange) ratedAfterBegin() bool {
	return !x.table.StoresTurns() && x.isTurn() && x.isTimedTurn()
}

// admitRate charges the request to the client account's quota. StartsProgram is set for the first
// request of a program.
func (x *exchange) admitRate(ctx context.Context, startsProgram bool) *refusal {
	r := quota.Request{Urgent: x.priority() == 0}
	if startsProgram {
		r.Start, r.Cost = true, x.g.costs.Estimate(x.route.Name)
	}
	reply, grant := x.g.quota.Admit(ctx, x.account, x.table.Version, r)
	for !reply.Admitted && !r.Start && ctx.Err() == nil && time.Since(x.start)+reply.RetryAfter <= maxRateWait {
		select {
		case <-time.After(reply.RetryAfter):
		case <-ctx.Done():
		}
		reply, grant = x.g.quota.Admit(ctx, x.account, x.table.Version, r)
	}
	if !reply.Admitted {
		return &refusal{status: http.StatusTooManyRequests, reason: "rate of the client account exceeded",
			retryAfter: reply.RetryAfter}
	}
	x.admitted, x.startsProgram, x.grant = true, r.Start, grant
	return nil
}

// refundQuota returns the quota of a request that did not run.
func (x *exchange) refundQuota() {
	if x.grant != nil {
		x.g.quota.Refund(x.grant)
	}
	x.admitted, x.grant = false, nil
}

// recordCost adds an admitted request to the cost estimate of programs.
func (x *exchange) recordCost() {
	switch {
	case !x.admitted:
	case x.route.StoresTurns || x.ratedAfterBegin():
		x.g.costs.RecordTurn(x.route.Name, x.startsProgram)
	case x.call.Program != "":
		x.g.costs.RecordRequest()
	}
}

// priority returns the priority of the request; 0 is served first.
func (x *exchange) priority() int {
	if x.account != nil && x.account.HasPriority {
		return x.account.Priority
	}
	return x.route.Priority
}

// authorize finds the route and the client account. A denial is first confirmed by a read
// of the store, since the configuration may have just changed.
func (x *exchange) authorize(ctx context.Context, table *route.Table) *refusal {
	f := x.matchRequest(table)
	if f == nil || f.status == http.StatusServiceUnavailable {
		return f
	}
	if !x.g.config.Confirm(ctx) {
		return x.g.refuseStaleKeys()
	}
	return x.matchRequest(x.g.config.Table())
}

// matchRequest finds the route, the client account and the service in a configuration
// version.
func (x *exchange) matchRequest(table *route.Table) *refusal {
	x.table = table
	x.route = table.Match(x.call.Host, x.call.Path)
	if x.route == nil {
		return &refusal{status: http.StatusNotFound, reason: "no such route"}
	}
	x.account = nil
	if table.NeedsKey(x.route) {
		if !x.g.config.KeysUsable() {
			return x.g.refuseStaleKeys()
		}
		if x.account = table.AccountOfKey(x.call.Key); x.account == nil {
			return &refusal{status: http.StatusUnauthorized, reason: "unknown key"}
		}
	}
	// All requests of a program on a route go to the same service.
	hashKey := x.call.Program
	if hashKey == "" {
		hashKey = x.call.ID
	}
	name := x.route.Service(xxhash.Sum64String(hashKey))
	if x.service = table.Services[name]; x.service == nil {
		x.service = &route.Service{Name: name}
	}
	x.coordinated = x.service.Engine != nil && x.g.coordinated(name)
	return nil
}
