package account

import (
	"net/http"
	"sort"

	"cowslipgw/internal/structs"
)

// codeStale is the problem of a grant request that a later one has overtaken.
const codeStale = "stale-grant"

// Buckets are the token buckets of the accounts that one partition owns. They are part
// of the partition's state: decisions are pure and changes happen in Apply alone.
type Buckets map[structs.AccountID]*entry

// entry is one account's bucket with what hosts hold.
type entry struct {
	bucket
	hosts map[structs.Origin]holding
}

// BucketOp sets a bucket and one host's holding to what the owner decided. It holds
// results, not inputs, so that replicas need no clock and no arithmetic.
type BucketOp struct {
	Account structs.AccountID `cbor:"1,keyasint"`
	Bucket  bucket            `cbor:"2,keyasint"`
	Origin  structs.Origin    `cbor:"3,keyasint"`
	Holding holding           `cbor:"4,keyasint"`
	// Gone lists hosts whose tokens count as spent.
	Gone []structs.Origin `cbor:"5,keyasint,omitempty"`
	// TookOver resets the holdings' times, which another owner measured.
	TookOver bool `cbor:"6,keyasint,omitempty"`
}

// Decide decides on a request for tokens. first is the level of a bucket that does not
// exist yet. The operation must be replicated before the answer is sent; it is nil for
// a repeated request.
func (b Buckets) Decide(req GrantRequest, first float64, inView func(structs.Origin) bool, clock structs.OwnerClock) (GrantResult, *BucketOp) {
	found := b[req.Account]
	if found == nil {
		found = &entry{bucket: bucket{Rate: req.Rate, Burst: req.Burst, Level: first, Owner: clock.Self, Mark: clock.Mono}}
	}
	last := found.hosts[req.Origin]
	if req.Seq == last.Seq {
		return found.result(req, last.Granted, clock), nil
	}
	if req.Seq < last.Seq {
		return GrantResult{Problem: &structs.Problem{
			Code: codeStale, Status: http.StatusConflict, Run: structs.RunNo,
			Detail: "a later grant request of this host was answered",
		}}, nil
	}
	work := found.work()
	op := &BucketOp{Account: req.Account, Origin: req.Origin}
	if work.Owner != clock.Self {
		work.takeOver(clock)
		work.restart(clock)
		op.TookOver = true
	}
	work.refill(clock.Mono, work.held())
	op.Gone = work.dropGone(inView, clock)
	holds := work.hosts[req.Origin]
	holds = work.report(holds, req, clock)
	work.limit(req.Rate, req.Burst, work.held())
	granted := work.grant(req)
	work.Level -= float64(granted)
	op.Bucket = work.bucket
	op.Holding = holding{
		Seq: req.Seq, Granted: granted, Held: holds.Held + granted,
		Ahead: holds.Held + granted - min(granted, max(0, req.Need)), Contact: clock.Mono,
	}
	return work.result(req, granted, clock), op
}

// work returns a copy that a decision may change.
func (e *entry) work() *entry {
	copied := &entry{bucket: e.bucket, hosts: make(map[structs.Origin]holding, len(e.hosts))}
	for origin, h := range e.hosts {
		copied.hosts[origin] = h
	}
	return copied
}

// restart counts the times of all holdings from now.
func (e *entry) restart(clock structs.OwnerClock) {
	for origin, h := range e.hosts {
		h.Contact = clock.Mono
		e.hosts[origin] = h
	}
}

// held returns the tokens that all hosts hold.
func (e *entry) held() int64 {
	var total int64
	for _, h := range e.hosts {
		total += h.Held
	}
	return total
}

// dropGone counts the tokens of hosts that left the view as spent, once they can no
// longer spend them.
func (e *entry) dropGone(inView func(structs.Origin) bool, clock structs.OwnerClock) []structs.Origin {
	var gone []structs.Origin
	for origin, h := range e.hosts {
		if !inView(origin) && clock.Mono-h.Contact >= GrantLifetime {
			gone = append(gone, origin)
			delete(e.hosts, origin)
		}
	}
	sort.Slice(gone, func(i, j int) bool { return originLess(gone[i], gone[j]) })
	return gone
}

// originLess orders origins.
func originLess(a, b structs.Origin) bool {
	if a.Host != b.Host {
		return a.Host < b.Host
	}
	return a.Incarnation < b.Incarnation
}

// report settles the tokens that a host spent and returned. It reports no more than it
// holds.
func (e *entry) report(h holding, req GrantRequest, clock structs.OwnerClock) holding {
	spent := min(max(req.Spent, 0), h.Held)
	left := spent
	for _, s := range req.Spends {
		tokens := min(max(s.Tokens, 0), left)
		left -= tokens
		e.spend(tokens, clock.Mono-max(s.Age, 0))
	}
	h.Held -= spent
	returned := min(max(req.Returned, 0), h.Held)
	h.Held -= returned
	e.hosts[req.Origin] = h
	e.Level += float64(returned)
	e.Level = min(e.Level, max(0, float64(e.Burst-e.held())))
	return h
}

// result builds the answer to a request.
func (e *entry) result(req GrantRequest, granted int64, clock structs.OwnerClock) GrantResult {
	result := GrantResult{Granted: granted, Level: int64(e.Level + levelTolerance)}
	if granted >= req.Need {
		return result
	}
	result.RetryAfter = e.until(float64(req.Need - granted))
	for origin, h := range e.hosts {
		settled := h.Ahead == 0 && clock.Mono-h.Contact < reportedWithin && !e.losing()
		if origin != req.Origin && !settled {
			result.Unsettled += h.Held
		}
	}
	return result
}

// Apply sets a bucket to what the owner decided.
func (b Buckets) Apply(op *BucketOp) {
	found := b[op.Account]
	if found == nil {
		found = &entry{hosts: make(map[structs.Origin]holding)}
		b[op.Account] = found
	}
	found.bucket = op.Bucket
	if op.TookOver {
		found.restart(structs.OwnerClock{Mono: op.Holding.Contact})
	}
	for _, origin := range op.Gone {
		delete(found.hosts, origin)
	}
	found.hosts[op.Origin] = op.Holding
}

// Idle returns up to limit accounts whose bucket is full, of which no host holds a
// token, and that had no request for a while, in order.
func (b Buckets) Idle(clock structs.OwnerClock, limit int) []structs.AccountID {
	var idle []structs.AccountID
	for id, e := range b {
		if e.Owner == clock.Self && e.idle(clock) {
			idle = append(idle, id)
		}
	}
	sort.Slice(idle, func(i, j int) bool { return idle[i] < idle[j] })
	return idle[:min(len(idle), limit)]
}

// idle reports whether a new bucket would be equal to this one.
func (e *entry) idle(clock structs.OwnerClock) bool {
	waited := clock.Mono - e.Mark
	return waited >= idleBucket && e.held() == 0 &&
		e.Level+e.Rate*waited.Seconds() >= float64(e.Burst)
}
