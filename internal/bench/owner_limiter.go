package bench

import (
	"fmt"
	"time"

	"cowslipgw/internal/account"
	"cowslipgw/internal/structs"
)

// ownerLimiter runs the bucket logic of package account on the virtual clock: the
// owner of an account decides with account.Buckets, and hosts spend grants, report
// them late and return what they do not use. The host's side follows
// account.Limiter, which needs goroutines and the real clock.
type ownerLimiter struct {
	c       *cluster
	buckets account.Buckets
	hosts   [][]*hostTokens
	// indexes are the hosts by their origin.
	indexes map[structs.Origin]int
	seq     uint64
}

const (
	// unusedFor, reportDelay, shortWait, askAgain, maxHold, smallBurst and limiterTick are
	// those of account.Limiter.
	unusedFor   = time.Second
	reportDelay = time.Second
	shortWait   = 25 * time.Millisecond
	askAgain    = 25 * time.Millisecond
	maxHold     = 1500 * time.Millisecond
	smallBurst  = 64
	limiterTick = 50 * time.Millisecond
)

func newOwnerLimiter(c *cluster) *ownerLimiter {
	l := &ownerLimiter{c: c, buckets: make(account.Buckets), indexes: make(map[structs.Origin]int)}
	for host := range c.hosts {
		l.indexes[originOf(host)] = host
		var tokens []*hostTokens
		for index, limit := range c.work.limits {
			id := structs.AccountID(c.deployment.Accounts[index].Name)
			tokens = append(tokens, &hostTokens{l: l, host: host, account: index, id: id, limit: limit, origin: originOf(host)})
		}
		l.hosts = append(l.hosts, tokens)
	}
	c.sim.after(limiterTick, l.tick)
	return l
}

func (l *ownerLimiter) admit(account, host int, decided func(bool, time.Duration)) {
	l.hosts[host][account].take(decided)
}

// travel is the way from the owner to the host.
func (l *ownerLimiter) travel() time.Duration { return l.c.deployment.HostDelay }

// tick makes hosts return unused tokens and report spent ones.
func (l *ownerLimiter) tick() {
	for host, tokens := range l.hosts {
		if l.c.hosts[host].dead {
			continue
		}
		for _, t := range tokens {
			t.tick()
		}
	}
	l.c.sim.after(limiterTick, l.tick)
}

// originOf names a host; its incarnation is its first.
func originOf(host int) structs.Origin {
	return structs.Origin{Host: structs.HostID(fmt.Sprintf("host-%02d", host)), Incarnation: 1}
}

// inView says whether a host is in the view, which a dead one leaves late.
func (l *ownerLimiter) inView(origin structs.Origin) bool {
	h := l.c.hosts[l.indexes[origin]]
	return !h.dead || l.c.sim.now < h.diedAt+viewChange
}

// decide carries a request to the owner and the answer back. While the partition
// moves the request waits.
func (l *ownerLimiter) decide(account int, request account.GrantRequest, answer func(account.GrantResult)) {
	if until := l.c.ownerDown[account]; until > l.c.sim.now {
		l.c.sim.at(until, func() { l.decide(account, request, answer) })
		return
	}
	clock := structs.OwnerClock{Self: originOf(l.c.owners[account]), Mono: l.c.sim.now}
	result, op := l.buckets.Decide(request, float64(request.Burst), l.inView, clock)
	if op != nil {
		l.buckets.Apply(op)
	}
	l.c.sim.after(l.c.deployment.HostDelay, func() { answer(result) })
}
