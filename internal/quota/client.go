package quota

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cowslipgw/internal/boottime"
	"cowslipgw/internal/peers"
	"cowslipgw/internal/route"
)

// takeTimeout limits one call to a bucket's owner, which is one or two milliseconds away
// and decides immediately.
const takeTimeout = 60 * time.Millisecond

const (
	// usageInterval is the interval between two reports of usage.
	usageInterval = 200 * time.Millisecond
	// usageRepeat is the interval at which unchanged usage is reported again, since reports
	// may be lost and the hosts that need them change.
	usageRepeat = time.Second
	// usageReceivers is the number of hosts that are told the usage of an account.
	usageReceivers = 3
	// maxPastReports is the number of accounts of one report whose past usage it contains, so that it fits into a
	// datagram.
	maxPastReports = 100
)

var ownerUnreachable = metrics.NewCounter("cowslipgw_quota_owner_unreachable_total")

// Client admits requests through the owners of the accounts' buckets. While an owner is
// unreachable, it uses this host's own share of the bucket.
type Client struct {
	hosts   peers.Hosts
	caller  peers.Calls
	limiter *Limiter

	mu sync.Mutex
	// reportedAt is when usage was last reported, and reported what each account's report
	// contained.
	reportedAt boottime.Instant
	reported   map[uint32]sentUsage
}

// sentUsage is the usage that was last reported for an account, and to which runs of hosts.
type sentUsage struct {
	usage     peers.Usage
	at        boottime.Instant
	receivers []granter
}

// NewClient returns a client. Limiter holds the buckets of this host.
func NewClient(hosts peers.Hosts, caller peers.Calls, limiter *Limiter) *Client {
	return &Client{hosts: hosts, caller: caller, limiter: limiter, reported: make(map[uint32]sentUsage)}
}

// bucketKey returns the rendezvous hashing key of an account's bucket.
func bucketKey(account uint32) uint64 { return uint64(account) << 8 }

// UsageReports returns the usage to report at this moment, by the ID of the host that needs
// it: the owner of the account's bucket and those that would own it next.
func (c *Client) UsageReports() map[string]peers.UsageReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := boottime.Now()
	if now.Sub(c.reportedAt) < usageInterval {
		return nil
	}
	c.reportedAt = now
	reports := make(map[string]peers.UsageReport)
	usage := c.limiter.usage()
	for account, used := range usage {
		candidates := c.hosts.StorelessCandidates(bucketKey(account), usageReceivers)
		receivers := make([]granter, len(candidates))
		for n, h := range candidates {
			receivers[n] = granterOf(h)
		}
		last := c.reported[account]
		if last.usage == used && slices.Equal(last.receivers, receivers) && now.Sub(last.at) < usageRepeat {
			continue
		}
		c.reported[account] = sentUsage{used, now, receivers}
		for n, h := range candidates {
			if h.ID == c.hosts.Self().ID {
				continue
			}
			report, started := reports[h.ID]
			if !started {
				report = peers.UsageReport{Counts: make(map[uint32]peers.Usage), Past: make(map[uint32][]uint32)}
				reports[h.ID] = report
			}
			report.Counts[account] = used
			if !slices.Contains(last.receivers, receivers[n]) && len(report.Past) < maxPastReports {
				report.Past[account] = c.limiter.pastUsage(account)
			}
		}
	}
	maps.DeleteFunc(c.reported, func(account uint32, _ sentUsage) bool { _, used := usage[account]; return !used })
	return reports
}

// Admit charges one request to an account's quota. An account without a rate is not
// limited. If the returned grant is nil, there is nothing to refund.
func (c *Client) Admit(ctx context.Context, account *route.Account, version int64, r Request) (TakeReply, *Grant) {
	if account == nil || account.Rate <= 0 {
		return TakeReply{Admitted: true}, nil
	}
	self := c.hosts.Self()
	g := &Grant{args: TakeArgs{Account: account.Name, Version: version, Rate: account.Rate, Burst: max(account.Burst, 1),
		Request: r}, host: self, owner: true}
	if owners := c.hosts.StorelessCandidates(bucketKey(accountHash(account.Name)), 1); len(owners) > 0 {
		g.host = owners[0]
	}
	ask := c.limiter.withHistory(g.args, self.ID, granterOf(g.host))
	if g.host.ID == self.ID {
		return c.grantIfAdmitted(c.limiter.Take(ask, true), g)
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	var reply TakeReply
	if err := c.caller.Call(ctx, g.host, ServiceName+".Take", ask, &reply); err != nil {
		ownerUnreachable.Inc()
		g.host, g.owner = self, false
		reply = c.limiter.Take(g.args, false)
	}
	return c.grantIfAdmitted(reply, g)
}

// granterOf identifies a host in received counts.
func granterOf(h peers.Host) granter { return granter{h.ID, h.Incarnation} }

// grantIfAdmitted returns the result of Admit.
func (c *Client) grantIfAdmitted(reply TakeReply, g *Grant) (TakeReply, *Grant) {
	if !reply.Admitted {
		return reply, nil
	}
	c.limiter.receive(g.args, granterOf(g.host), g.owner)
	return reply, g
}

// Refund returns the quota of a request that did not run. It does not wait; if the host
// that admitted the request is lost, the request counts as used.
func (c *Client) Refund(g *Grant) {
	c.limiter.unreceive(g.args, granterOf(g.host))
	if g.host.ID == c.hosts.Self().ID {
		c.limiter.Refund(g.args, g.owner)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), takeTimeout)
		defer cancel()
		if err := c.caller.Call(ctx, g.host, ServiceName+".GiveBack", g.args, &GiveBackReply{}); err != nil {
			ownerUnreachable.Inc()
		}
	}()
}
