package turns

import (
	"context"
	"time"

	"cowslipgw/internal/peers"
)

const (
	// maxCandidates is the number of homes that are tried for one call.
	maxCandidates = 3
	// homeTimeout limits one call of a home: an append of a few milliseconds.
	homeTimeout = 400 * time.Millisecond
	// answerMargin is how long before that the home answers in any case, so that one which
	// waits for the store is not taken for one that is silent.
	answerMargin = 100 * time.Millisecond
	// locateTimeout limits the search for a turn at all hosts.
	locateTimeout = 300 * time.Millisecond
	// releaseTimeout limits the question to the home before, which may lack processor time.
	releaseTimeout = 150 * time.Millisecond
)

// Client reaches the homes of programs. It implements Others.
type Client struct {
	hosts  peers.Hosts
	caller peers.Calls
	home   *Home
}

// NewClient returns a client. SetHome must be called before its first use.
func NewClient(hosts peers.Hosts, caller peers.Calls) *Client {
	return &Client{hosts: hosts, caller: caller}
}

// SetHome sets the home at this host.
func (c *Client) SetHome(home *Home) { c.home = home }

// partitionKey is the rendezvous key of a partition's home.
func partitionKey(partition int) uint64 { return uint64(partition) + 1 }

// isFirst reports whether a host is the first candidate for a partition.
func (c *Client) isFirst(partition int, id string) bool {
	first := c.hosts.Candidates(partitionKey(partition), 1)
	return len(first) > 0 && first[0].ID == id
}

// Owns reports whether this host is the first candidate for a partition.
func (c *Client) Owns(partition int) bool { return c.isFirst(partition, c.hosts.Self().ID) }

// at calls a method of the service at a host, or local if it is this one.
func (c *Client) at(ctx context.Context, h peers.Host, method string, args, reply any, local func()) error {
	if h.ID == c.hosts.Self().ID {
		local()
		return nil
	}
	return c.caller.Call(ctx, h, ServiceName+"."+method, args, reply)
}

// Begin asks the homes of the program in turn. A turn to continue that its partition
// does not hold is looked for at all hosts; its chain then comes back in Chain with
// flattened set, and the caller stores it as part of the turn's input.
func (c *Client) Begin(ctx context.Context, args BeginArgs) (reply BeginReply, flattened bool) {
	reply = c.begin(ctx, args)
	if reply.Outcome != UnknownParent {
		return reply, false
	}
	found := c.locate(ctx, LocateArgs{Account: args.Account, Turn: args.Parent})
	if found.Outcome != Located {
		return BeginReply{Outcome: found.Outcome}, false
	}
	args.Parent = ""
	reply = c.begin(ctx, args)
	reply.Chain, reply.Replica = found.Chain, found.Replica
	return reply, true
}

func (c *Client) begin(ctx context.Context, args BeginArgs) BeginReply {
	reply := BeginReply{Outcome: Unavailable}
	uncertain := false
	c.ask(ctx, PartitionOf(args.Account, args.Program), func(ctx context.Context, h peers.Host) (bool, error) {
		// A reply of its own: one that comes too late must not overwrite the next home's.
		var got BeginReply
		err := c.at(ctx, h, "Begin", args, &got, func() { got = c.home.Begin(ctx, args) })
		if err != nil {
			uncertain = true
			return false, err
		}
		reply = got
		uncertain = uncertain || got.Uncertain
		return reply.Outcome != Unavailable, nil
	})
	reply.Uncertain = uncertain && reply.Outcome == Unavailable
	return reply
}

// End settles a turn at one of its homes. It reports whether the turn is kept.
func (c *Client) End(ctx context.Context, t Turn) bool {
	kept := false
	c.ask(ctx, PartitionOf(t.Account, t.Program), func(ctx context.Context, h peers.Host) (bool, error) {
		var got EndReply
		err := c.at(ctx, h, "End", EndArgs{Turn: t}, &got, func() { got.Kept = c.home.End(ctx, t) })
		if err != nil {
			return false, err
		}
		kept = got.Kept
		return kept, nil
	})
	return kept
}

// ask calls the homes of a partition in turn until one decides. A home that answers,
// cannot decide and is still the first candidate is not passed over: it is about to read
// the partition, and others would only read it, too.
func (c *Client) ask(ctx context.Context, partition int, call func(context.Context, peers.Host) (decided bool, err error)) {
	tried := make(map[string]bool)
	for len(tried) < maxCandidates && ctx.Err() == nil {
		next := c.nextCandidate(partition, tried)
		if next == nil {
			return
		}
		tried[next.ID] = true
		attempt, cancel := context.WithTimeout(ctx, homeTimeout)
		decided, err := call(attempt, *next)
		cancel()
		if decided && err == nil {
			return
		}
		if err == nil && c.isFirst(partition, next.ID) {
			return
		}
	}
}

// nextCandidate returns the best candidate that was not tried, or nil.
func (c *Client) nextCandidate(partition int, tried map[string]bool) *peers.Host {
	for _, h := range c.hosts.Candidates(partitionKey(partition), maxCandidates+len(tried)) {
		if !tried[h.ID] {
			return &h
		}
	}
	return nil
}

// locate asks all live hosts for a turn. Outcome is UnknownParent only if hosts that
// have the whole state of all partitions answered.
func (c *Client) locate(ctx context.Context, args LocateArgs) LocateReply {
	ctx, cancel := context.WithTimeout(ctx, locateTimeout)
	defer cancel()
	hosts := c.hosts.Candidates(0, 1<<16)
	replies := make(chan LocateReply, len(hosts))
	for _, h := range hosts {
		go func() {
			var got LocateReply
			if c.at(ctx, h, "Locate", args, &got, func() { got = c.home.Locate(ctx, args, c.Owns) }) != nil {
				replies <- LocateReply{Outcome: Unavailable}
				return
			}
			replies <- got
		}()
	}
	certain := uint64(0)
	for range hosts {
		reply := <-replies
		if reply.Outcome == Located || reply.Outcome == ForeignParent {
			return reply
		}
		certain |= reply.Certain
	}
	if certain != ^uint64(0) {
		return LocateReply{Outcome: Unavailable}
	}
	return LocateReply{Outcome: UnknownParent}
}

// Release implements Others. It also asks a host to which calls have failed.
func (c *Client) Release(ctx context.Context, args ReleaseArgs) (ReleaseReply, Presence) {
	for _, h := range append(c.hosts.Others(), c.hosts.Self()) {
		writer := WriterOf(h)
		if !sameHost(writer, args.Writer) {
			continue
		}
		if writer != args.Writer {
			return ReleaseReply{}, Gone
		}
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		var reply ReleaseReply
		if err := c.caller.Call(ctx, h, ServiceName+".Release", args, &reply); err != nil {
			return ReleaseReply{}, Silent
		}
		return reply, Present
	}
	return ReleaseReply{}, Silent
}
