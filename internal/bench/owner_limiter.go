package bench

import (
	"fmt"
	"time"

	"cowslipgw/internal/account"
	"cowslipgw/internal/structs"
)

// ownerLimiter runs the token-bucket logic of package account on the virtual clock:
// the owner of an account decides with account.Buckets; hosts spend granted tokens,
// report them with a delay and return unused ones. The host side mirrors
// account.Limiter, which needs goroutines and the real clock.
type ownerLimiter struct {
	cluster     *cluster
	buckets     account.Buckets
	hosts       [][]*hostTokens
	hostIndexes map[structs.Origin]int
	seq         uint64
}

const (
	// These constants have the names and values of those of account.Limiter.
	unusedTokenTTL      = time.Second
	reportDelay         = time.Second
	shortageGrace       = 25 * time.Millisecond
	unsettledRetryDelay = 25 * time.Millisecond
	maxUnsettledWait    = 1500 * time.Millisecond
	smallBurst          = 64
	sweepInterval       = 50 * time.Millisecond
)

func newOwnerLimiter(c *cluster) *ownerLimiter {
	l := &ownerLimiter{cluster: c, buckets: make(account.Buckets), hostIndexes: make(map[structs.Origin]int)}
	for host := range c.hosts {
		l.hostIndexes[originOf(host)] = host
		var tokens []*hostTokens
		for index, limit := range c.workload.limits {
			id := structs.AccountID(c.deployment.Accounts[index].Name)
			tokens = append(tokens, &hostTokens{limiter: l, host: host, account: index, id: id, limit: limit, origin: originOf(host)})
		}
		l.hosts = append(l.hosts, tokens)
	}
	c.sim.after(sweepInterval, l.tick)
	return l
}

func (l *ownerLimiter) admit(account, host int, onDecision func(bool, time.Duration)) {
	l.hosts[host][account].admit(onDecision)
}

// responseDelay returns the delay of the owner's answer to the host.
func (l *ownerLimiter) responseDelay() time.Duration { return l.cluster.deployment.HostDelay }

// tick lets every live host return unused tokens and report spent ones.
func (l *ownerLimiter) tick() {
	for host, tokens := range l.hosts {
		if l.cluster.hosts[host].dead {
			continue
		}
		for _, t := range tokens {
			t.tick()
		}
	}
	l.cluster.sim.after(sweepInterval, l.tick)
}

// originOf returns the origin of a host in its first incarnation.
func originOf(host int) structs.Origin {
	return structs.Origin{Host: structs.HostID(fmt.Sprintf("host-%02d", host)), Incarnation: 1}
}

// inView reports whether a host is in the view. A dead host leaves the view with a
// delay.
func (l *ownerLimiter) inView(origin structs.Origin) bool {
	h := l.cluster.hosts[l.hostIndexes[origin]]
	return !h.dead || l.cluster.sim.now < h.diedAt+viewChangeDelay
}

// decide delivers a request to the owner and returns its answer with the network
// delay. Requests wait while the bucket moves to another owner.
func (l *ownerLimiter) decide(account int, request account.GrantRequest, answer func(account.GrantResult)) {
	if until := l.cluster.ownerDownUntil[account]; until > l.cluster.sim.now {
		l.cluster.sim.at(until, func() { l.decide(account, request, answer) })
		return
	}
	clock := structs.OwnerClock{Owner: originOf(l.cluster.owners[account]), Monotonic: l.cluster.sim.now}
	result, op := l.buckets.Decide(request, float64(request.Burst), l.inView, clock)
	if op != nil {
		l.buckets.Apply(op)
	}
	l.cluster.sim.after(l.cluster.deployment.HostDelay, func() { answer(result) })
}
