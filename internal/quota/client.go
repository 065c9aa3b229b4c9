package quota

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cowslipgw/internal/peers"
	"cowslipgw/internal/route"
)

// takeTimeout limits one call to a bucket's owner, which is one or two milliseconds away
// and decides immediately.
const takeTimeout = 60 * time.Millisecond

var ownerUnreachable = metrics.NewCounter("cowslipgw_quota_owner_unreachable_total")

// Client admits requests through the owners of the accounts' buckets. While an owner is
// unreachable, it uses this host's own share of the bucket.
type Client struct {
	hosts   peers.Hosts
	caller  peers.Calls
	limiter *Limiter
}

// NewClient returns a client. Limiter holds the buckets of this host.
func NewClient(hosts peers.Hosts, caller peers.Calls, limiter *Limiter) *Client {
	return &Client{hosts: hosts, caller: caller, limiter: limiter}
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
	owners := c.hosts.Candidates(uint64(accountHash(account.Name))<<8, 1)
	if len(owners) == 0 || owners[0].ID == self.ID {
		return grantIfAdmitted(c.limiter.Take(g.args, true), g)
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	var reply TakeReply
	if err := c.caller.Call(ctx, owners[0], ServiceName+".Take", g.args, &reply); err != nil {
		ownerUnreachable.Inc()
		g.owner = false
		return grantIfAdmitted(c.limiter.Take(g.args, false), g)
	}
	g.host = owners[0]
	return grantIfAdmitted(reply, g)
}

func grantIfAdmitted(reply TakeReply, g *Grant) (TakeReply, *Grant) {
	if !reply.Admitted {
		return reply, nil
	}
	return reply, g
}

// Refund returns the quota of a request that did not run. It does not wait; if the host
// that admitted the request is lost, the request counts as used.
func (c *Client) Refund(g *Grant) {
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
