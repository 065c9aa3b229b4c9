package pacing

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"cowslipgw/internal/peers"
)

// reserveTimeout limits one call to a replica's owner, which is one or two milliseconds away
// and decides immediately.
const reserveTimeout = 60 * time.Millisecond

var ownerUnreachable = metrics.NewCounter("cowslipgw_pacing_owner_unreachable_total")

// Client reserves send times through the owners of replicas.
type Client struct {
	hosts  peers.Hosts
	caller peers.Calls
	pacer  *Pacer
}

// NewClient returns a client. Pacer holds the schedules of this host.
func NewClient(hosts peers.Hosts, caller peers.Calls, pacer *Pacer) *Client {
	return &Client{hosts: hosts, caller: caller, pacer: pacer}
}

// Reserve returns when a request may be sent to a replica. While the owner is unreachable, it
// uses this host's share of the rate.
func (c *Client) Reserve(ctx context.Context, args ReserveArgs) ReserveReply {
	owners := c.hosts.StorelessCandidates(xxhash.Sum64String(args.Replica.ID), 1)
	if len(owners) == 0 || owners[0].ID == c.hosts.Self().ID {
		return c.pacer.Reserve(args)
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	var reply ReserveReply
	if err := c.caller.Call(ctx, owners[0], ServiceName+".Reserve", args, &reply); err != nil {
		ownerUnreachable.Inc()
		return c.pacer.ReserveShare(args)
	}
	return reply
}
