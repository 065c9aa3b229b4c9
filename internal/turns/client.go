package turns

import (
	"context"
	"maps"
	"slices"
	"time"

	"cowslipgw/internal/peers"
)

const (
	// maxCandidates is the maximum number of owners that are tried for one call.
	maxCandidates = 3
	// minOwnerTimeout limits one call to an owner, which takes an append of a few
	// milliseconds.
	minOwnerTimeout = 400 * time.Millisecond
	// maxOwnerTimeout is the same limit while the store is slow.
	maxOwnerTimeout = 1500 * time.Millisecond
	// ownerAnswers is the number of the store's answers that an owner may need for a call: to the
	// append under way, to its own append, and to a read after a conflict.
	ownerAnswers = 3
	// maxChain is the length of the part of a history that one reply contains, in bytes. Calls
	// that share the connection wait for it, over a slow link for 0.1 s.
	maxChain = 512 << 10
	// replyMargin is how long before the limit an owner replies in any case, so that an owner
	// that waits for the store is not mistaken for an unreachable one.
	replyMargin = 100 * time.Millisecond
	// releaseTimeout limits the release call to the previous owner, which may be short of
	// CPU time.
	releaseTimeout = 150 * time.Millisecond
)

// Client calls the owners of programs. It implements Peers.
type Client struct {
	hosts  peers.Hosts
	caller peers.Calls
	owner  *Owner
	// answerTime returns how long the store takes for an answer.
	answerTime func() time.Duration
}

// NewClient returns a client. AnswerTime returns how long the store takes for an answer. SetOwner
// must be called before the client is used.
func NewClient(hosts peers.Hosts, caller peers.Calls, answerTime func() time.Duration) *Client {
	return &Client{hosts: hosts, caller: caller, answerTime: answerTime}
}

// ownerTimeout returns the limit for one call to an owner.
func (c *Client) ownerTimeout() time.Duration {
	return min(max(ownerAnswers*c.answerTime()+replyMargin, minOwnerTimeout), maxOwnerTimeout)
}

// SetOwner sets the owner that runs on this host.
func (c *Client) SetOwner(owner *Owner) { c.owner = owner }

// partitionKey returns the rendezvous hashing key of a partition.
func partitionKey(partition int) uint64 { return uint64(partition) + 1 }

// isFirst reports whether a host is the first candidate for a partition.
func (c *Client) isFirst(partition int, id string) bool {
	first := c.hosts.Candidates(partitionKey(partition), 1)
	return len(first) > 0 && first[0].ID == id
}

// Owns reports whether this host is the first candidate for a partition.
func (c *Client) Owns(partition int) bool { return c.isFirst(partition, c.hosts.Self().ID) }

// FollowHosts notes which runs of hosts exist, loads the partitions that this host owns, and takes over the
// programs that others have owned.
func (c *Client) FollowHosts(ctx context.Context) {
	c.owner.ObserveHosts(append(c.hosts.Others(), c.hosts.Self()))
	c.owner.Preload(ctx, c.Owns)
	c.owner.TakeOver(ctx, c.Owns)
}

// callHost calls a method of the service at a host, or calls local if h is this host.
func (c *Client) callHost(ctx context.Context, h peers.Host, method string, args, reply any, local func()) error {
	if h.ID == c.hosts.Self().ID {
		local()
		return nil
	}
	return c.caller.Call(ctx, h, ServiceName+"."+method, args, reply)
}

// Begin asks the owners of the program's partition in order of preference. If the partition
// does not have the parent turn, Begin looks for it at all hosts and returns its history in
// Chain. Flattened is set if the parent is not one of the program's own turns; the caller then
// stores the history as part of the turn's input. Room is asked, before a history is read,
// whether there is memory for its length in bytes; nil means that there always is.
func (c *Client) Begin(ctx context.Context, args BeginArgs, room func(bytes int) bool) (reply BeginReply, flattened bool) {
	if room == nil {
		room = func(int) bool { return true }
	}
	reply = c.begin(ctx, args, room)
	if reply.Outcome != UnknownParent {
		return reply, reply.Detached
	}
	found := c.locate(ctx, LocateArgs{Account: args.Account, Turn: args.Parent, MaxChain: maxChain}, room)
	if found.Outcome != Located {
		return BeginReply{Outcome: found.Outcome}, false
	}
	args.Parent = ""
	reply = c.begin(ctx, args, room)
	reply.Chain, reply.ChainBytes, reply.Replica = found.Chain, found.ChainBytes, found.Replica
	return reply, true
}

// completeChain returns the whole history of a turn, of which h has replied with the beginning. The
// outcome is Located, NoRoom, or Unavailable if the rest is not available.
func (c *Client) completeChain(ctx context.Context, h peers.Host, account, turn string, chain []byte, size int, room func(bytes int) bool) ([]byte, Outcome) {
	if !room(max(size, len(chain))) {
		return nil, NoRoom
	}
	if size <= len(chain) {
		return chain, Located // hosts of earlier builds reply with all of it
	}
	all := append(make([]byte, 0, size), chain...)
	for len(all) < size {
		args := HistoryArgs{Account: account, Turn: turn, From: len(all), Limit: maxChain}
		var got HistoryReply
		attempt, cancel := context.WithTimeout(ctx, c.ownerTimeout())
		args.WaitMS = remainingMS(attempt)
		err := c.callHost(attempt, h, "History", args, &got, func() { got = c.owner.History(attempt, args) })
		cancel()
		if err != nil || !got.Found || len(got.Chain) == 0 {
			return nil, Unavailable
		}
		all = append(all, got.Chain...)
	}
	return all, Located
}

func (c *Client) begin(ctx context.Context, args BeginArgs, room func(bytes int) bool) BeginReply {
	reply := BeginReply{Outcome: Unavailable}
	uncertain := false
	args.MaxChain = maxChain
	var owner peers.Host
	partition := PartitionOf(args.Account, args.Program)
	call := func(ctx context.Context, h peers.Host) (bool, error) {
		// Use a separate reply for each call: a late one must not overwrite the next
		// owner's.
		var got BeginReply
		args.WaitMS = remainingMS(ctx)
		err := c.callHost(ctx, h, "Begin", args, &got, func() { got = c.owner.Begin(ctx, args) })
		if err != nil {
			uncertain = true
			return false, err
		}
		reply, owner = got, h
		uncertain = uncertain || got.Uncertain
		return reply.Outcome != Unavailable, nil
	}
	tried := c.tryCandidates(ctx, partition, call)
	if former := c.hosts.StorelessCandidates(partitionKey(partition), 1); reply.Outcome == Unavailable && len(former) > 0 && !tried[former[0].ID] {
		// Hosts notice an outage of the store one after the other. Until most of them have, a
		// partition moves to a host that cannot load it, while its owner has preallocations.
		args.PreallocatedOnly = true
		attempt, cancel := context.WithTimeout(ctx, c.ownerTimeout())
		// A refusal or an error leaves the reply as it is.
		_, _ = call(attempt, former[0])
		cancel()
	}
	if reply.Outcome == Granted {
		var outcome Outcome
		if reply.Chain, outcome = c.completeChain(ctx, owner, args.Account, args.Parent, reply.Chain, reply.ChainBytes, room); outcome != Located {
			return BeginReply{Outcome: outcome, Uncertain: true, Granter: reply.Granter}
		}
	}
	reply.Uncertain = uncertain && reply.Outcome != Granted
	return reply
}

// PieceBytes returns the size of the contents of a turn that End accepts, in bytes.
func (c *Client) PieceBytes() int { return c.owner.limits.pieceBytes() }

// End settles a turn at one of its owners.
func (c *Client) End(ctx context.Context, t Turn) EndReply {
	var reply EndReply
	c.tryCandidates(ctx, PartitionOf(t.Account, t.Program), func(ctx context.Context, h peers.Host) (bool, error) {
		var got EndReply
		err := c.callHost(ctx, h, "End", EndArgs{Turn: t, WaitMS: remainingMS(ctx)}, &got, func() { got = c.owner.End(ctx, t) })
		if err != nil {
			return false, err
		}
		reply = got
		return reply.Kept || reply.Rejected, nil
	})
	return reply
}

// remainingMS returns the time until the deadline of ctx in milliseconds; 0 if it has none.
func remainingMS(ctx context.Context) int64 {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return max(time.Until(deadline).Milliseconds(), 0)
}

// tryCandidates calls the candidate owners of a partition in order until one decides. It
// stops at an owner that answers without a decision and is still the first candidate: that
// owner is about to load the partition, and the others would only load it, too. It returns the IDs of
// the hosts that were called.
func (c *Client) tryCandidates(ctx context.Context, partition int, call func(context.Context, peers.Host) (decided bool, err error)) (tried map[string]bool) {
	tried = make(map[string]bool)
	for len(tried) < maxCandidates && ctx.Err() == nil {
		next := c.nextCandidate(partition, tried)
		if next == nil {
			return tried
		}
		tried[next.ID] = true
		attempt, cancel := context.WithTimeout(ctx, c.ownerTimeout())
		decided, err := call(attempt, *next)
		cancel()
		if decided && err == nil {
			return tried
		}
		if err == nil && c.isFirst(partition, next.ID) {
			return tried
		}
	}
	return tried
}

// nextCandidate returns the best candidate that was not tried yet, or nil.
func (c *Client) nextCandidate(partition int, tried map[string]bool) *peers.Host {
	for _, h := range c.hosts.Candidates(partitionKey(partition), maxCandidates+len(tried)) {
		if !tried[h.ID] {
			return &h
		}
	}
	return nil
}

// locate asks the owners of all partitions for a turn. The outcome is UnknownParent only if
// the hosts that answered have the complete state of all partitions between them.
func (c *Client) locate(callerCtx context.Context, args LocateArgs, room func(bytes int) bool) LocateReply {
	ctx, cancel := context.WithTimeout(callerCtx, c.ownerTimeout())
	defer cancel()
	args.WaitMS = remainingMS(ctx)
	hosts := c.owners()
	type located struct {
		LocateReply
		host peers.Host
	}
	replies := make(chan located, len(hosts))
	for _, h := range hosts {
		go func() {
			var got LocateReply
			if c.callHost(ctx, h, "Locate", args, &got, func() { got = c.owner.Locate(ctx, args, c.Owns) }) != nil {
				got = LocateReply{Outcome: Unavailable}
			}
			replies <- located{got, h}
		}()
	}
	certain := uint64(0)
	for range hosts {
		reply := <-replies
		switch reply.Outcome {
		case ForeignParent, HistoryTooLong:
			return reply.LocateReply
		case Located:
			reply.Chain, reply.Outcome = c.completeChain(callerCtx, reply.host, args.Account, args.Turn, reply.Chain, reply.ChainBytes, room)
			return reply.LocateReply
		}
		certain |= reply.Certain
	}
	if certain != ^uint64(0) {
		return LocateReply{Outcome: Unavailable}
	}
	return LocateReply{Outcome: UnknownParent}
}

// owners returns the owners of all partitions.
func (c *Client) owners() []peers.Host {
	byID := make(map[string]peers.Host)
	for p := range Partitions {
		for _, h := range c.hosts.Candidates(partitionKey(p), 1) {
			byID[h.ID] = h
		}
	}
	return slices.Collect(maps.Values(byID))
}

// Release implements Peers. It also calls hosts to which earlier calls failed.
func (c *Client) Release(ctx context.Context, args ReleaseArgs) (ReleaseReply, Presence) {
	for _, h := range append(c.hosts.Others(), c.hosts.Self()) {
		writer := WriterOf(h)
		if !sameHost(writer, args.Writer) {
			continue
		}
		if writer != args.Writer {
			return ReleaseReply{}, Terminated
		}
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		var reply ReleaseReply
		if err := c.caller.Call(ctx, h, ServiceName+".Release", args, &reply); err != nil {
			return ReleaseReply{}, Unreachable
		}
		return reply, Present
	}
	return ReleaseReply{}, Unreachable
}
