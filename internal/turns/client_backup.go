package turns

import (
	"context"

	"cowslipgw/internal/peers"
)

// maxBackupCandidates is the number of hosts among which the backup of a partition's owner is chosen.
const maxBackupCandidates = 5

// Choose implements Backups. The backup is one of the next owners of the partition, if possible in another failure
// domain.
func (c *Client) Choose(partition int, usable func(backup int64) bool) int64 {
	self := c.hosts.Self()
	chosen := int64(0)
	for _, h := range c.hosts.Candidates(partitionKey(partition), maxBackupCandidates) {
		backup := WriterOf(h)
		if h.ID == self.ID || !usable(backup) {
			continue
		}
		if h.Domain != self.Domain {
			return backup
		}
		if chosen == 0 {
			chosen = backup
		}
	}
	return chosen
}

// hostOf returns the other host that a writer ID identifies, unless it runs a later incarnation.
func (c *Client) hostOf(writer int64) (peers.Host, bool) {
	for _, h := range c.hosts.Others() {
		if WriterOf(h) == writer {
			return h, true
		}
	}
	return peers.Host{}, false
}

// Keep implements Backups.
func (c *Client) Keep(ctx context.Context, args KeepArgs) KeepOutcome {
	h, known := c.hostOf(args.Backup)
	if !known {
		return KeepFailed
	}
	var reply KeepReply
	if err := c.caller.Call(ctx, h, ServiceName+".Keep", args, &reply); err != nil {
		return KeepFailed
	}
	if !reply.Kept {
		return KeepRefused
	}
	return Kept
}

// Seal implements Backups. It also calls hosts to which earlier calls failed.
func (c *Client) Seal(ctx context.Context, args SealArgs) (SealReply, bool) {
	h, known := c.hostOf(args.Backup)
	if !known {
		return SealReply{}, false
	}
	var reply SealReply
	err := c.caller.Call(ctx, h, ServiceName+".Seal", args, &reply)
	return reply, err == nil
}
