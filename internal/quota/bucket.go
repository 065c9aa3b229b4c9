package quota

import (
	"time"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/peers"
)

const (
	// startSlack is the part of the bound's slack that a bucket whose past is unknown
	// starts with. The rest covers owners that do not hear of each other for a moment.
	startSlack = 0.25
	// commitShare of the rate may be committed to programs. The rest covers programs
	// that need more than expected.
	commitShare = 0.87
	// startLevel of the burst must be in the bucket for a program to begin; what is
	// below is left to programs under way.
	startLevel = 0.2
	// urgentReserve of the burst is left to programs of the most urgent rank.
	urgentReserve = 0.25
	// extraDepth is what a bucket can hold beyond the burst, in requests, as far as rate and
	// burst of a window allow. A program of eleven turns with its tools needs about that
	// many more than a small rate refills while it runs.
	extraDepth = 16
	// programsDepth is how many programs of the expected size a bucket may let in at
	// once, as far as rate and burst of a window allow.
	programsDepth = 2
)

// bucket is the token bucket of one client account as this host sees it.
type bucket struct {
	// version is the configuration that rate and burst are from.
	version     int64
	rate, burst float64
	bound       Bound
	level       float64
	// admitted and committed count requests in the window: those let through, and those
	// that the programs let in are expected to need.
	admitted, committed ledger
	// own is what this host may admit by itself while it does not reach the owner.
	own float64
	// uncommitted is what is left for further programs: the burst and rate less what the
	// programs that were let in are expected to need. It may be negative.
	uncommitted float64
	// cost is what the last program that asked was expected to need.
	cost float64
	last boottime.Instant
	// used counts what this host admitted and committed.
	used peers.Usage
	// others holds the last counters of the other hosts.
	others map[string]counter
}

func newBucket(bound Bound) *bucket {
	return &bucket{bound: bound, others: make(map[string]counter)}
}

// counter is the last usage heard of another host.
type counter struct {
	incarnation int64
	used        peers.Usage
}

// fleet says how many hosts share a bucket.
type fleet struct {
	// hosts known, and hosts heard of lately, this one included.
	known, alive int
}

// part is the part of the account's rate that the hosts heard of may use. A host that
// hears fewer than half of the others is cut off and keeps to its own part.
func (f fleet) part() float64 {
	if 2*f.alive <= f.known {
		return float64(f.alive) / float64(f.known)
	}
	return 1
}

// total is what the account may use in a window.
func (b *bucket) total() float64 { return b.rate*b.bound.Window.Seconds() + b.burst }

// depth is the number of requests that the bucket can hold.
func (b *bucket) depth() float64 { return min(b.total(), b.burst+extraDepth) }

// programDepth is the number of requests that may be committed to programs at once, if
// a program is expected to need cost.
func (b *bucket) programDepth(cost float64) float64 {
	return max(b.burst, min(commitShare*b.total(), programsDepth*cost))
}

func (b *bucket) refill(now boottime.Instant, f fleet) {
	seconds := max(now.Sub(b.last).Seconds(), 0)
	b.last = now
	b.admitted.advance(now, b.bound.Window)
	b.committed.advance(now, b.bound.Window)
	gained := seconds * b.rate * f.part()
	b.level = min(b.level+gained, b.depth()*f.part())
	b.uncommitted = min(b.uncommitted+commitShare*gained, b.programDepth(b.cost)*f.part())
	share := 1 / float64(max(f.alive, 1))
	b.own = min(b.own+gained*share, max(b.burst*f.part()*share, 1))
}

// take admits one request if the bucket holds it. A program's first request also needs
// room for the whole program, so that programs that were let in can end; Cost is what
// it is expected to need. A host that is not the bucket's owner keeps to its share.
func (b *bucket) take(now boottime.Instant, f fleet, r Request, owner bool) bool {
	if r.Start {
		b.cost = r.Cost
	}
	b.refill(now, f)
	if b.level < 1 || b.admitted.sum+1 > b.total()*f.part() || (!owner && b.own < 1) {
		return false
	}
	if r.Start {
		if !b.roomForProgram(f, r) {
			return false
		}
		b.commit(r.Cost)
	}
	b.level--
	b.admitted.add(1)
	if !owner {
		b.own--
	}
	b.used.Admitted++
	return true
}

// roomForProgram reports whether a program may begin. One that needs more than the whole
// window may begin while no other is counted.
func (b *bucket) roomForProgram(f fleet, r Request) bool {
	reserve := 0.0
	if !r.Urgent {
		reserve = urgentReserve * b.burst * f.part()
	}
	if b.uncommitted <= reserve || b.level < startLevel*b.burst*f.part() {
		return false
	}
	return b.committed.sum == 0 || b.committed.sum+r.Cost <= b.total()*f.part()
}

// commit counts n requests as needed by programs that were let in.
func (b *bucket) commit(n float64) {
	b.uncommitted -= n
	b.committed.add(n)
	b.used.Committed += uint32(int32(n))
}

// giveBack takes back a request that take admitted and that did not run.
func (b *bucket) giveBack(now boottime.Instant, f fleet, r Request, owner bool) {
	b.refill(now, f)
	if r.Start {
		b.commit(-r.Cost)
	}
	b.level = min(b.level+1, b.depth()*f.part())
	b.admitted.add(-1)
	if !owner {
		b.own++
	}
	b.used.Admitted--
}

// wait returns the time until the bucket holds a request that was refused.
func (b *bucket) wait(f fleet, r Request, owner bool) time.Duration {
	missing := 1 - b.level
	rate := b.rate * f.part()
	total := b.total() * f.part()
	least := b.admitted.room(total-1, b.bound.Window)
	if r.Start {
		missing = max(missing, -b.uncommitted/commitShare, startLevel*b.burst*f.part()-b.level)
		least = max(least, b.committed.room(max(total-r.Cost, 0), b.bound.Window))
	}
	if !owner {
		missing = max(missing, (1-b.own)*float64(f.alive))
	}
	return max(least, time.Duration(missing/rate*float64(time.Second)))
}

// heard enters what another host used since its last heartbeat. Its counters fall when
// it takes requests back.
func (b *bucket) heard(host string, incarnation int64, used peers.Usage) {
	last, known := b.others[host]
	b.others[host] = counter{incarnation: incarnation, used: used}
	if !known || b.rate == 0 {
		return // the past of the bucket is unknown
	}
	if last.incarnation != incarnation {
		last.used = peers.Usage{}
	}
	admitted := float64(int32(used.Admitted - last.used.Admitted))
	committed := float64(int32(used.Committed - last.used.Committed))
	b.level = min(b.level-admitted, b.depth())
	b.uncommitted -= committed
	b.admitted.add(admitted)
	b.committed.add(committed)
}

// configure sets the rate and burst of a version of the configuration, unless a newer
// one is known. A bucket whose past is unknown starts with what the bound allows beyond
// them; a changed one keeps its level within the new depth.
func (b *bucket) configure(version int64, rate, burst float64, now boottime.Instant) {
	if version < b.version {
		return
	}
	b.version = version
	first := b.rate == 0
	b.rate, b.burst = rate, burst
	if first {
		b.level = b.bound.Excess*b.total() + startSlack*b.bound.Slack
		b.uncommitted = burst
		b.last = now
	}
	b.level = min(b.level, b.depth())
	b.uncommitted = min(b.uncommitted, b.programDepth(b.cost))
}
