package quota

import (
	"time"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/peers"
)

const (
	// initialSlack is the fraction of the bound's slack that a bucket without history
	// starts with. The rest covers owners that briefly receive no heartbeats from each
	// other.
	initialSlack = 0.25
	// commitFraction is the fraction of the rate that may be committed to programs. The
	// rest covers programs that need more than expected.
	commitFraction = 0.87
	// minStartLevel is the fraction of the burst that must be in the bucket for a program
	// to start; what is below is reserved for running programs.
	minStartLevel = 0.2
	// urgentReserve is the fraction of the burst that is reserved for programs of the
	// highest priority.
	urgentReserve = 0.25
	// extraCapacity is the number of requests that a bucket can hold beyond the burst, as
	// far as the rate and burst of a window allow. A program of eleven turns with its tool
	// calls needs about that many requests beyond what a small rate refills while it runs.
	extraCapacity = 16
	// maxConcurrentPrograms is the number of programs of the expected size that a bucket
	// may admit at once, as far as the rate and burst of a window allow.
	maxConcurrentPrograms = 2
	// maxBeyondReport limits an estimate as a multiple of the usage that was reported: the former owner may have
	// been lost before it reported its last requests.
	maxBeyondReport = 1.1
	// maxLossFactor limits how far the usage that few hosts remember is extrapolated.
	maxLossFactor = 3
)

// bucket is this host's view of the token bucket of one client account.
type bucket struct {
	// version is the configuration version that rate and burst come from.
	version     int64
	rate, burst float64
	bound       Bound
	level       float64
	// admitted and committed count requests in the window: those that this host has admitted,
	// and those that the programs admitted by all hosts are expected to need.
	admitted, committed slidingWindow
	// reported counts the requests in the window that other hosts have admitted by their reports.
	// Those of a host that was lost are missing, unless this host received its reports.
	reported slidingWindow
	// elsewhere counts the same requests by what the hosts say that ask this one to admit
	// requests.
	elsewhere elsewhere
	// localLevel is the number of requests that this host may admit on its own while it
	// cannot reach the owner.
	localLevel float64
	// uncommitted is the capacity for further programs: the burst and the rate, less the
	// expected demand of the admitted programs. It may be negative.
	uncommitted float64
	// cost is the expected demand of the last program that requested to start.
	cost       float64
	lastRefill boottime.Instant
	// usage counts what this host has admitted and committed, at usedAt for the last time.
	usage  peers.Usage
	usedAt boottime.Instant
	// received counts what this host had admitted for its callers.
	received received
	// youngUntil is the end of the first window after the start of this host.
	youngUntil boottime.Instant
	// remoteUsage holds the last usage received from each other host.
	remoteUsage map[string]hostUsage
}

func newBucket(bound Bound) *bucket {
	return &bucket{bound: bound, remoteUsage: make(map[string]hostUsage), elsewhere: make(elsewhere),
		received: make(received)}
}

// hostUsage is the last usage received from one incarnation of a host.
type hostUsage struct {
	incarnation int64
	usage       peers.Usage
}

// fleetSize is the number of hosts that share a bucket.
type fleetSize struct {
	// known hosts, and hosts with recent heartbeats; both include this host.
	known, alive int
}

// usableShare returns the share of the account's rate that the live hosts may use together.
// If they are not a majority of the known hosts, this host counts as partitioned from the
// others, and the live hosts may use only their proportional share.
func (f fleetSize) usableShare() float64 {
	if f.isMinority() {
		return float64(f.alive) / float64(f.known)
	}
	return 1
}

// isMinority reports whether the live hosts are not a majority of the known ones.
func (f fleetSize) isMinority() bool { return 2*f.alive <= f.known }

// lossFactor returns the factor by which a count over the live hosts, made when there were then live hosts, is
// multiplied to cover those that were lost since and, of the live ones, the young ones that have started in the
// window. A minority counts for itself only.
func (f fleetSize) lossFactor(then, young int) float64 {
	remembering := f.alive - young
	if f.isMinority() || remembering <= 0 {
		return 1
	}
	return min(max(float64(then)/float64(remembering), 1), maxLossFactor)
}

// windowLimit returns the number of requests that the account may use in a window.
func (b *bucket) windowLimit() float64 { return b.rate*b.bound.Window.Seconds() + b.burst }

// capacity returns the number of requests that the bucket can hold.
func (b *bucket) capacity() float64 { return min(b.windowLimit(), b.burst+extraCapacity) }

// programCapacity returns the number of requests that may be committed to programs at once
// if a program is expected to need cost.
func (b *bucket) programCapacity(cost float64) float64 {
	return max(b.burst, min(commitFraction*b.windowLimit(), maxConcurrentPrograms*cost))
}

// refill adds the tokens gained since the last refill and advances the windows.
func (b *bucket) refill(now boottime.Instant, f fleetSize) {
	seconds := max(now.Sub(b.lastRefill).Seconds(), 0)
	b.lastRefill = now
	b.admitted.advance(now, b.bound.Window)
	b.reported.advance(now, b.bound.Window)
	b.committed.advance(now, b.bound.Window)
	gained := seconds * b.rate * f.usableShare()
	b.level = min(b.level+gained, b.capacity()*f.usableShare())
	b.uncommitted = min(b.uncommitted+commitFraction*gained, b.programCapacity(b.cost)*f.usableShare())
	share := 1 / float64(max(f.alive, 1))
	b.localLevel = min(b.localLevel+gained*share, max(b.burst*f.usableShare()*share, 1))
}

// admittedByAll returns the number of requests that all hosts have admitted in the window.
func (b *bucket) admittedByAll() float64 {
	return b.admitted.sum + max(b.reported.sum, b.admittedElsewhere())
}

// admittedElsewhere returns an estimate of the number of requests that others have admitted, by what the hosts say
// that ask this one. A host that has started in the window, and was told as much by an owner that knew the window,
// does not go far beyond that report.
func (b *bucket) admittedElsewhere() float64 {
	admitted, estimate := b.elsewhere.sum(b.lastRefill, b.bound.Window)
	if b.lastRefill < b.youngUntil && b.reported.sum >= admitted {
		return min(estimate, maxBeyondReport*b.reported.sum)
	}
	return estimate
}

// windowOfAll returns the window of admittedByAll.
func (b *bucket) windowOfAll() slidingWindow {
	all := b.admitted
	if b.reported.sum >= b.admittedElsewhere() {
		all.merge(&b.reported)
		return all
	}
	for _, w := range b.elsewhere {
		all.merge(&w.estimate)
	}
	return all
}

// take admits one request if the bucket holds a token for it. A program's first request
// also requires capacity for the whole program, r.Cost, so that admitted programs can
// finish. A host that is not the bucket's owner limits itself to its share.
func (b *bucket) take(now boottime.Instant, f fleetSize, r Request, owner bool) bool {
	if r.Start {
		b.cost = r.Cost
	}
	b.refill(now, f)
	if b.level < 1 || b.admittedByAll()+1 > b.windowLimit()*f.usableShare() || (!owner && b.localLevel < 1) {
		return false
	}
	if r.Start {
		if !b.canStartProgram(f, r) {
			return false
		}
		b.commit(r.Cost)
	}
	b.level--
	b.admitted.add(1)
	if !owner {
		b.localLevel--
	}
	b.usage.Admitted++
	b.usedAt = now
	return true
}

// canStartProgram reports whether a program may start. A program that needs more than the
// whole window may start while no other one is counted.
func (b *bucket) canStartProgram(f fleetSize, r Request) bool {
	reserve := 0.0
	if !r.Urgent {
		reserve = urgentReserve * b.burst * f.usableShare()
	}
	if b.uncommitted <= reserve || b.level < minStartLevel*b.burst*f.usableShare() {
		return false
	}
	return b.committed.sum == 0 || b.committed.sum+r.Cost <= b.windowLimit()*f.usableShare()
}

// commit counts n requests as expected demand of admitted programs.
func (b *bucket) commit(n float64) {
	b.uncommitted -= n
	b.committed.add(n)
	b.usage.Committed += uint32(int32(n))
}

// receive records that by has admitted a request of a caller of this host. What the owner admits
// reduces what this host may admit on its own, so that the loss of the owner gives the account no
// second burst.
func (b *bucket) receive(now boottime.Instant, f fleetSize, by granter, owner bool) {
	b.refill(now, f)
	b.received.add(by, 1, f.alive, now, b.bound.Window)
	if owner {
		b.localLevel = max(b.localLevel-1, 0)
	}
}

// refund reverses take for a request that was admitted and did not run.
func (b *bucket) refund(now boottime.Instant, f fleetSize, r Request, owner bool) {
	b.refill(now, f)
	if r.Start {
		b.commit(-r.Cost)
	}
	b.level = min(b.level+1, b.capacity()*f.usableShare())
	b.admitted.add(-1)
	if !owner {
		b.localLevel++
	}
	b.usage.Admitted--
	b.usedAt = now
}

// retryAfter returns the time until the bucket can admit a request that was refused.
func (b *bucket) retryAfter(f fleetSize, r Request, owner bool) time.Duration {
	deficit := 1 - b.level
	rate := b.rate * f.usableShare()
	total := b.windowLimit() * f.usableShare()
	all := b.windowOfAll()
	windowWait := all.timeUntilBelow(max(total-1, 0), b.bound.Window)
	if r.Start {
		deficit = max(deficit, -b.uncommitted/commitFraction, minStartLevel*b.burst*f.usableShare()-b.level)
		windowWait = max(windowWait, b.committed.timeUntilBelow(max(total-r.Cost, 0), b.bound.Window))
	}
	if !owner {
		deficit = max(deficit, (1-b.localLevel)*float64(f.alive))
	}
	return max(windowWait, time.Duration(deficit/rate*float64(time.Second)))
}

// applyUsage subtracts what another host has used since its previous report. Its counters
// decrease when it refunds requests. Past tells, if this is the first report to this host, how old the requests in
// the window are.
func (b *bucket) applyUsage(host string, incarnation int64, used peers.Usage, past []uint32) {
	last, known := b.remoteUsage[host]
	b.remoteUsage[host] = hostUsage{incarnation: incarnation, usage: used}
	if b.rate == 0 {
		return
	}
	if !known {
		// Without a baseline the counters may include usage from long ago.
		recent := max(float64(used.Recent)-b.admitted.sum-b.reported.sum, 0)
		b.reported.addPast(recent, past)
		b.level = min(b.level, b.windowLimit()-b.admitted.sum-b.reported.sum)
		return
	}
	if last.incarnation != incarnation {
		last.usage = peers.Usage{}
	}
	admitted := float64(int32(used.Admitted - last.usage.Admitted))
	committed := float64(int32(used.Committed - last.usage.Committed))
	b.level = min(b.level-admitted, b.capacity())
	b.uncommitted -= committed
	b.reported.add(admitted)
	b.committed.add(committed)
}

// hasReportsOf reports whether this host has received the usage of a run of another host, so that what hosts that
// were lost had admitted by it is known.
func (b *bucket) hasReportsOf(by granter) bool {
	last, known := b.remoteUsage[by.host]
	return known && last.incarnation == by.incarnation
}

// configure sets the rate and burst of a configuration version, unless a newer one is in
// effect. A bucket without history starts with what the bound allows beyond them; an
// existing one keeps its level, limited to the new capacity.
func (b *bucket) configure(version int64, rate, burst float64, now boottime.Instant) {
	if version < b.version {
		return
	}
	b.version = version
	first := b.rate == 0
	b.rate, b.burst = rate, burst
	if first {
		b.level = b.bound.Excess*b.windowLimit() + initialSlack*b.bound.Slack
		b.uncommitted = burst
		b.lastRefill = now
	}
	b.level = min(b.level, b.capacity())
	b.uncommitted = min(b.uncommitted, b.programCapacity(b.cost))
}
