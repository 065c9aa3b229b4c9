package account

import (
	"net/http"
	"sort"

	"cowslipgw/internal/structs"
)

// codeStaleGrant is the problem code for a grant request with an outdated sequence
// number.
const codeStaleGrant = "stale-grant"

// Buckets holds the token buckets of the accounts that one partition owns. It is
// part of the partition's replicated state: decisions are pure, and only Apply
// changes it.
type Buckets map[structs.AccountID]*accountState

// accountState is one account's bucket and the holdings of hosts.
type accountState struct {
	bucket
	hosts map[structs.Origin]holding
}

// BucketOp sets a bucket and one host's holding to the values that the owner
// decided. It contains results rather than inputs, so that replicas need neither a
// clock nor arithmetic to apply it.
type BucketOp struct {
	Account structs.AccountID `cbor:"1,keyasint"`
	Bucket  bucket            `cbor:"2,keyasint"`
	Origin  structs.Origin    `cbor:"3,keyasint"`
	Holding holding           `cbor:"4,keyasint"`
	// Departed lists the hosts whose tokens now count as spent.
	Departed []structs.Origin `cbor:"5,keyasint,omitempty"`
	// OwnerChanged resets the times of the holdings, which were measured by another
	// owner.
	OwnerChanged bool `cbor:"6,keyasint,omitempty"`
}

// Decide decides on a request for tokens. initialLevel is the level of a bucket that
// does not exist yet. The operation must be replicated before the result is sent. It
// is nil for a retried request, which gets the same grant again, and for a stale
// one.
func (b Buckets) Decide(req GrantRequest, initialLevel float64, inView func(structs.Origin) bool, clock structs.OwnerClock) (GrantResult, *BucketOp) {
	found := b[req.Account]
	if found == nil {
		found = &accountState{bucket: bucket{Rate: req.Rate, Burst: req.Burst, Level: initialLevel, Owner: clock.Owner, RefilledAt: clock.Monotonic}}
	}
	last := found.hosts[req.Origin]
	if req.Seq == last.Seq {
		return found.grantResult(req, last.Granted, clock), nil
	}
	if req.Seq < last.Seq {
		return GrantResult{Problem: &structs.Problem{
			Code: codeStaleGrant, Status: http.StatusConflict, Run: structs.RunNo,
			Detail: "a later grant request of this host was answered",
		}}, nil
	}
	updated := found.clone()
	op := &BucketOp{Account: req.Account, Origin: req.Origin}
	if updated.Owner != clock.Owner {
		updated.resetClock(clock)
		updated.resetRequestTimes(clock)
		op.OwnerChanged = true
	}
	updated.refill(clock.Monotonic, updated.held())
	op.Departed = updated.removeDepartedHosts(inView, clock)
	reported := updated.hosts[req.Origin]
	reported = updated.applyReport(reported, req, clock)
	updated.setLimits(req.Rate, req.Burst, updated.held())
	granted := updated.grant(req)
	updated.Level -= float64(granted)
	op.Bucket = updated.bucket
	op.Holding = holding{
		Seq: req.Seq, Granted: granted, Held: reported.Held + granted,
		Prefetched: reported.Held + granted - min(granted, max(0, req.Need)), LastRequest: clock.Monotonic,
	}
	return updated.grantResult(req, granted, clock), op
}

// clone returns a copy for a decision to modify.
func (e *accountState) clone() *accountState {
	copied := &accountState{bucket: e.bucket, hosts: make(map[structs.Origin]holding, len(e.hosts))}
	for origin, h := range e.hosts {
		copied.hosts[origin] = h
	}
	return copied
}

// resetRequestTimes sets the last request time of all holdings to now.
func (e *accountState) resetRequestTimes(clock structs.OwnerClock) {
	for origin, h := range e.hosts {
		h.LastRequest = clock.Monotonic
		e.hosts[origin] = h
	}
}

// held returns the total number of tokens that hosts hold.
func (e *accountState) held() int64 {
	var total int64
	for _, h := range e.hosts {
		total += h.Held
	}
	return total
}

// removeDepartedHosts counts the tokens of hosts that have left the view as spent,
// once those hosts can no longer spend them. It returns the removed hosts in order.
func (e *accountState) removeDepartedHosts(inView func(structs.Origin) bool, clock structs.OwnerClock) []structs.Origin {
	var departed []structs.Origin
	for origin, h := range e.hosts {
		if !inView(origin) && clock.Monotonic-h.LastRequest >= GrantLifetime {
			departed = append(departed, origin)
			delete(e.hosts, origin)
		}
	}
	sort.Slice(departed, func(i, j int) bool { return originLess(departed[i], departed[j]) })
	return departed
}

// originLess orders origins by host, then by incarnation.
func originLess(a, b structs.Origin) bool {
	if a.Host != b.Host {
		return a.Host < b.Host
	}
	return a.Incarnation < b.Incarnation
}

// applyReport settles the tokens that a host reports as spent and returned. The
// reported numbers are capped at the number of tokens that the host holds.
func (e *accountState) applyReport(h holding, req GrantRequest, clock structs.OwnerClock) holding {
	spent := min(max(req.Spent, 0), h.Held)
	left := spent
	for _, s := range req.Spends {
		tokens := min(max(s.Tokens, 0), left)
		left -= tokens
		e.settleSpend(tokens, clock.Monotonic-max(s.Age, 0))
	}
	h.Held -= spent
	returned := min(max(req.Returned, 0), h.Held)
	h.Held -= returned
	e.hosts[req.Origin] = h
	e.Level += float64(returned)
	e.Level = min(e.Level, max(0, float64(e.Burst-e.held())))
	return h
}

// grantResult builds the reply to a request.
func (e *accountState) grantResult(req GrantRequest, granted int64, clock structs.OwnerClock) GrantResult {
	result := GrantResult{Granted: granted, Level: int64(e.Level + levelTolerance)}
	if granted >= req.Need {
		return result
	}
	result.RetryAfter = e.timeUntil(float64(req.Need - granted))
	for origin, h := range e.hosts {
		settled := h.Prefetched == 0 && clock.Monotonic-h.LastRequest < settledWindow && !e.losingRefill()
		if origin != req.Origin && !settled {
			result.Unsettled += h.Held
		}
	}
	return result
}

// Apply sets a bucket to the values that the owner decided.
func (b Buckets) Apply(op *BucketOp) {
	found := b[op.Account]
	if found == nil {
		found = &accountState{hosts: make(map[structs.Origin]holding)}
		b[op.Account] = found
	}
	found.bucket = op.Bucket
	if op.OwnerChanged {
		found.resetRequestTimes(structs.OwnerClock{Monotonic: op.Holding.LastRequest})
	}
	for _, origin := range op.Departed {
		delete(found.hosts, origin)
	}
	found.hosts[op.Origin] = op.Holding
}

// Idle returns up to limit accounts, in order, whose bucket is full, has no tokens
// held by hosts and had no request for idleBucketTTL.
func (b Buckets) Idle(clock structs.OwnerClock, limit int) []structs.AccountID {
	var idle []structs.AccountID
	for id, e := range b {
		if e.Owner == clock.Owner && e.idle(clock) {
			idle = append(idle, id)
		}
	}
	sort.Slice(idle, func(i, j int) bool { return idle[i] < idle[j] })
	return idle[:min(len(idle), limit)]
}

// idle reports whether the bucket can be dropped, because a new bucket would be
// equal to it.
func (e *accountState) idle(clock structs.OwnerClock) bool {
	waited := clock.Monotonic - e.RefilledAt
	return waited >= idleBucketTTL && e.held() == 0 &&
		e.Level+e.Rate*waited.Seconds() >= float64(e.Burst)
}
