package quota

import (
	"math"
	"time"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/peers"
)

const (
	// startShare of the tokens of a window is in a bucket whose past is unknown. It is
	// what the bound allows beyond rate and burst.
	startShare = 0.1
	// commitShare of the rate may be committed to programs. The rest covers programs
	// that need more than expected.
	commitShare = 0.87
	// startLevel of the burst must be in the bucket for a program to begin; what is
	// below is left to programs under way.
	startLevel = 0.2
	// urgentReserve of the burst is left to programs of the most urgent rank.
	urgentReserve = 0.25
)

// bucket is the token bucket of one client account as this host sees it.
type bucket struct {
	// version is the configuration that rate and burst are from.
	version     int64
	rate, burst float64
	level       float64
	// own is what this host may admit by itself while it does not reach the owner.
	own float64
	// uncommitted is what is left for further programs: the burst and rate less what the
	// programs that were let in are expected to need. It may be negative.
	uncommitted float64
	last        boottime.Instant
	// used counts what this host admitted and committed.
	used peers.Usage
	// others holds the last counters of the other hosts.
	others map[string]counter
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

func (b *bucket) refill(now boottime.Instant, f fleet) {
	seconds := max(now.Sub(b.last).Seconds(), 0)
	b.last = now
	gained := seconds * b.rate * f.part()
	b.level = math.Min(b.level+gained, b.burst*f.part())
	b.uncommitted = math.Min(b.uncommitted+commitShare*gained, b.burst*f.part())
	share := 1 / float64(max(f.alive, 1))
	b.own = math.Min(b.own+gained*share, math.Max(b.burst*f.part()*share, 1))
}

// take admits one request if the bucket holds it. A program's first request also needs
// room for the whole program, so that programs that were let in can end; Cost is what
// it is expected to need. A host that is not the bucket's owner keeps to its share.
func (b *bucket) take(now boottime.Instant, f fleet, r Request, owner bool) bool {
	b.refill(now, f)
	if b.level < 1 || (!owner && b.own < 1) {
		return false
	}
	if r.Start {
		reserve := 0.0
		if !r.Urgent {
			reserve = urgentReserve * b.burst * f.part()
		}
		if b.uncommitted <= reserve || b.level < startLevel*b.burst*f.part() {
			return false
		}
		b.uncommitted -= r.Cost
		b.used.Committed += uint32(r.Cost)
	}
	b.level--
	if !owner {
		b.own--
	}
	b.used.Admitted++
	return true
}

// wait returns the time until the bucket holds a request that was refused.
func (b *bucket) wait(f fleet, r Request, owner bool) time.Duration {
	missing := 1 - b.level
	rate := b.rate * f.part()
	if r.Start {
		missing = max(missing, -b.uncommitted/commitShare, startLevel*b.burst*f.part()-b.level)
	}
	if !owner {
		missing = max(missing, (1-b.own)*float64(f.alive))
	}
	return time.Duration(missing / rate * float64(time.Second))
}

// heard takes off what another host used since its last heartbeat.
func (b *bucket) heard(host string, incarnation int64, used peers.Usage) {
	last, known := b.others[host]
	b.others[host] = counter{incarnation: incarnation, used: used}
	if !known || b.rate == 0 {
		return // the past of the bucket is unknown
	}
	if last.incarnation != incarnation {
		last.used = peers.Usage{}
	}
	b.level -= float64(used.Admitted - last.used.Admitted)
	b.uncommitted -= float64(used.Committed - last.used.Committed)
}

// configure sets the rate and burst of a version of the configuration, unless a newer
// one is known. A bucket whose past is unknown starts with what the bound allows beyond
// them; a changed one keeps its level within the new burst.
func (b *bucket) configure(version int64, rate, burst float64, window time.Duration, now boottime.Instant) {
	if version < b.version {
		return
	}
	b.version = version
	if b.rate == 0 {
		b.level = min(burst, startShare*(rate*window.Seconds()+burst))
		b.uncommitted = burst
		b.last = now
	}
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
	b.uncommitted = min(b.uncommitted, burst)
}
