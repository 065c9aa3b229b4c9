package quota

import (
	"math"

	"cowslipgw/internal/boottime"
)

const (
	// startShare of the tokens of a window is in a bucket whose past is unknown. It is
	// what the bound allows beyond rate and burst.
	startShare = 0.1
	// lowShare of the burst is the level below which hosts admit only their share.
	lowShare = 0.5
)

// bucket is the token bucket of one client account as this host sees it.
type bucket struct {
	rate, burst float64
	level       float64
	// own is what this host may still admit by itself while the level is low.
	own  float64
	last boottime.Instant
	// admitted counts the requests admitted by this host.
	admitted uint32
	// others holds the last counters of the other hosts.
	others map[string]counter
}

// counter is the last count heard of another host.
type counter struct {
	incarnation int64
	admitted    uint32
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
	share := 1 / float64(max(f.alive, 1))
	if b.level >= b.burst*f.part()*lowShare {
		b.own = b.level
		return
	}
	b.own = math.Min(b.own+gained*share, math.Max(b.level*share, 1))
}

// take admits one request if the bucket holds it.
func (b *bucket) take(now boottime.Instant, f fleet) bool {
	b.refill(now, f)
	if b.level < 1 || b.own < 1 {
		return false
	}
	b.level--
	b.own--
	b.admitted++
	return true
}

// heard takes off what another host admitted since its last heartbeat.
func (b *bucket) heard(host string, incarnation int64, admitted uint32) {
	last, known := b.others[host]
	b.others[host] = counter{incarnation: incarnation, admitted: admitted}
	switch {
	case known && last.incarnation == incarnation:
		b.level -= float64(admitted - last.admitted)
	case known:
		b.level -= float64(admitted)
	}
}
