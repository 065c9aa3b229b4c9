package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"cowslipgw/internal/quota"
	"cowslipgw/internal/route"
)

// rateWait is how long a request of a program under way waits for its account's rate. A
// refusal would cost the caller one of few retries, and then the whole program.
const rateWait = 300 * time.Millisecond

// bodyLimit is the largest body while the configuration names none.
const bodyLimit = 4 << 20

// admit decides whether a request may run, up to its rate.
func (x *exchange) admit(r *http.Request) *refusal {
	call, err := x.g.codec.Decode(r)
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: err.Error()}
	}
	x.call = call
	table := x.g.config.Table()
	if table == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no configuration yet", retryAfter: retryOther}
	}
	if f := x.authorize(r.Context(), table); f != nil {
		return f
	}
	limit := x.table.Limits.BodyBytes
	if limit <= 0 {
		limit = bodyLimit
	}
	x.body, err = io.ReadAll(http.MaxBytesReader(x.w, r.Body, limit))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body is too large"}
		}
		return &refusal{status: http.StatusBadRequest, reason: "body could not be read"}
	}
	// The body may have taken long; a key is judged by what is known now.
	if x.account != nil && !x.g.config.KeysUsable() {
		return x.g.keysStale()
	}
	if f := x.admitRate(r.Context()); f != nil {
		return f
	}
	patience := x.route.Timeout
	if call.Patience > 0 && (patience <= 0 || call.Patience < patience) {
		patience = call.Patience
	}
	x.deadline = x.start.Add(patience)
	return nil
}

// admitRate takes the request off the client account's quota.
func (x *exchange) admitRate(ctx context.Context) *refusal {
	r := quota.Request{Urgent: x.priority() == 0}
	if x.route.KeepsTurns && x.call.Previous == "" {
		r.Start, r.Cost = true, x.g.costs.Of(x.route.Name)
	}
	reply, grant := x.g.quota.Admit(ctx, x.account, x.table.Version, r)
	for !reply.Admitted && !r.Start && ctx.Err() == nil && time.Since(x.start)+reply.RetryAfter <= rateWait {
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
	x.admitted, x.starts, x.grant = true, r.Start, grant
	return nil
}

// giveBack takes a request that did not run off what its account used.
func (x *exchange) giveBack() {
	if x.grant != nil {
		x.g.quota.GiveBack(x.grant)
	}
	x.admitted, x.grant = false, nil
}

// countCost enters an admitted request in the estimate of what programs need.
func (x *exchange) countCost() {
	switch {
	case !x.admitted:
	case x.route.KeepsTurns:
		x.g.costs.Turn(x.route.Name, x.starts)
	case x.call.Program != "":
		x.g.costs.Request()
	}
}

// priority is the rank of the request; 0 is served first.
func (x *exchange) priority() int {
	if x.account != nil && x.account.HasPriority {
		return x.account.Priority
	}
	return x.route.Priority
}

// authorize finds the route and the client account. A denial is confirmed with the
// store first, since the configuration may just have changed.
func (x *exchange) authorize(ctx context.Context, table *route.Table) *refusal {
	f := x.match(table)
	if f == nil || f.status == http.StatusServiceUnavailable {
		return f
	}
	if !x.g.config.Confirm(ctx) {
		return x.g.keysStale()
	}
	return x.match(x.g.config.Table())
}

// match finds the route, the client account and the service in a version.
func (x *exchange) match(table *route.Table) *refusal {
	x.table = table
	x.route = table.Match(x.call.Host, x.call.Path)
	if x.route == nil {
		return &refusal{status: http.StatusNotFound, reason: "no such route"}
	}
	x.account = nil
	if table.NeedsKey(x.route) {
		if !x.g.config.KeysUsable() {
			return x.g.keysStale()
		}
		if x.account = table.AccountOfKey(x.call.Key); x.account == nil {
			return &refusal{status: http.StatusUnauthorized, reason: "unknown key"}
		}
	}
	// All requests of a program on a route go to the same service.
	sharer := x.call.Program
	if sharer == "" {
		sharer = x.call.ID
	}
	name := x.route.Service(xxhash.Sum64String(sharer))
	if x.service = table.Services[name]; x.service == nil {
		x.service = &route.Service{Name: name}
	}
	return nil
}
