package quota

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cowslipgw/internal/peers"
	"cowslipgw/internal/route"
)

// takeTimeout limits one call of a bucket's owner, which is one or two milliseconds
// away and decides at once.
const takeTimeout = 60 * time.Millisecond

var ownerUnreachable = metrics.NewCounter("cowslipgw_quota_owner_unreachable_total")

// Client admits requests at the owners of the accounts' buckets, and within this
// host's own share of a bucket while its owner cannot be reached.
type Client struct {
	hosts   peers.Hosts
	caller  peers.Calls
	limiter *Limiter
}

// NewClient returns a client. Limiter holds the buckets of this host.
func NewClient(hosts peers.Hosts, caller peers.Calls, limiter *Limiter) *Client {
	return &Client{hosts: hosts, caller: caller, limiter: limiter}
}

// Admit takes one request off an account's quota. An account without a rate has no
// limit. Without a grant there is nothing to give back.
func (c *Client) Admit(ctx context.Context, account *route.Account, version int64, r Request) (TakeReply, *Grant) {
	if account == nil || account.Rate <= 0 {
		return TakeReply{Admitted: true}, nil
	}
	self := c.hosts.Self()
	g := &Grant{args: TakeArgs{Account: account.Name, Version: version, Rate: account.Rate, Burst: max(account.Burst, 1),
		Request: r}, by: self, owner: true}
	owners := c.hosts.Candidates(uint64(hashOf(account.Name))<<8, 1)
	if len(owners) == 0 || owners[0].ID == self.ID {
		return granted(c.limiter.Take(g.args, true), g)
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	var reply TakeReply
	if err := c.caller.Call(ctx, owners[0], ServiceName+".Take", g.args, &reply); err != nil {
		ownerUnreachable.Inc()
		g.owner = false
		return granted(c.limiter.Take(g.args, false), g)
	}
	g.by = owners[0]
	return granted(reply, g)
}

func granted(reply TakeReply, g *Grant) (TakeReply, *Grant) {
	if !reply.Admitted {
		return reply, nil
	}
	return reply, g
}

// GiveBack takes back a request that did not run. It does not wait; if the host that
// admitted the request is lost, the request counts as used.
func (c *Client) GiveBack(g *Grant) {
	if g.by.ID == c.hosts.Self().ID {
		c.limiter.GiveBack(g.args, g.owner)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), takeTimeout)
		defer cancel()
		if err := c.caller.Call(ctx, g.by, ServiceName+".GiveBack", g.args, &GiveBackReply{}); err != nil {
			ownerUnreachable.Inc()
		}
	}()
}
