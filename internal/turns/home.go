package turns

import (
	"context"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/peers"
	"cowslipgw/internal/storelog"
)

const (
	// troubleLimit is how long the store may not take a partition's turns before turns that
	// need a record are refused at once.
	troubleLimit = 500 * time.Millisecond
	// exhaustedAge is how long after the store's last confirmation a spent budget needs no
	// further one. Programs without end ask several times a second.
	exhaustedAge = 300 * time.Millisecond
)

// Others are the homes at other hosts.
type Others interface {
	// Release asks the home that is named by writer to grant no more ahead.
	Release(ctx context.Context, args ReleaseArgs) (ReleaseReply, Presence)
}

// Home decides for partitions. Its methods are safe for concurrent use.
type Home struct {
	log    storelog.Log
	others Others
	events *event.Logger
	parts  [Partitions]*partition
	// appendTime is the usual time of an append.
	appendTime average
	// gone holds when homes were first found to be gone.
	gone goneHomes
	// loads holds a token for each load under way.
	loads chan struct{}
}

// NewHome returns the home at a host. Its topics have partsPerTopic partitions each.
func NewHome(self peers.Host, log storelog.Log, others Others, partsPerTopic int, events *event.Logger) *Home {
	h := &Home{log: log, others: others, events: events, loads: make(chan struct{}, maxLoads)}
	writer := WriterOf(self)
	for id := range h.parts {
		h.parts[id] = newPartition(id, partsPerTopic, writer)
	}
	return h
}

// Begin decides whether a turn may begin and reserves its tokens.
func (h *Home) Begin(ctx context.Context, args BeginArgs) BeginReply {
	p := h.parts[PartitionOf(args.Account, args.Program)]
	if !h.ensureLoaded(ctx, p) {
		return BeginReply{Outcome: Unavailable}
	}
	reply, c := h.decide(p, args)
	if reply.Outcome == UnknownParent || (reply.Outcome == Exhausted && !p.verifiedWithin(exhaustedAge)) {
		// Another home may have written since this one last read.
		if h.sync(ctx, p) != nil {
			return BeginReply{Outcome: Unavailable}
		}
		reply, c = h.decide(p, args)
	}
	if reply.Outcome == Exhausted && h.release(ctx, p, args) {
		reply, c = h.decide(p, args)
	}
	if p.shouldRelease(args) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
			defer cancel()
			h.release(ctx, p, args)
		}()
	}
	if c == nil {
		return reply
	}
	select {
	case <-c.done:
	case <-ctx.Done():
		return BeginReply{Outcome: Unavailable, Uncertain: !p.withdraw(c)}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.withdrawn {
		return BeginReply{Outcome: Exhausted}
	}
	return reply
}

// withdraw drops a reservation that was not kept in time. It reports false if the store may
// have it.
func (p *partition) withdraw(c *change) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.sent || c.ended {
		return c.withdrawn
	}
	p.removeLocked(c.turn.ID)
	c.endLocked()
	p.dropDoneLocked()
	return true
}

// decide applies the reservation of a turn to the state, if its budget holds it.
func (h *Home) decide(p *partition, args BeginArgs) (BeginReply, *change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reply := BeginReply{Outcome: Granted}
	if args.Parent != "" {
		parent := p.turns[args.Parent]
		if parent == nil || parent.State != Ended {
			return BeginReply{Outcome: UnknownParent}, nil
		}
		if parent.Account != args.Account {
			return BeginReply{Outcome: ForeignParent}, nil
		}
		chain, whole := p.chainLocked(parent)
		if !whole {
			return BeginReply{Outcome: UnknownParent}, nil
		}
		reply.Chain, reply.Replica = chain, parent.Replica
	}
	t := Turn{
		ID: args.Turn, Parent: args.Parent, Account: args.Account, Program: args.Program,
		State: Open, Tokens: args.MaxTokens,
		Expiry: time.Now().UnixMilli() + args.RetentionMS,
	}
	g := p.programLocked(&t)
	g.budget = args.Budget
	used := g.used() - g.open[args.Turn]
	if old := p.turns[args.Turn]; old != nil {
		used -= old.Tokens
	}
	if args.Budget > 0 && used+args.MaxTokens > args.Budget {
		return BeginReply{Outcome: Exhausted}, nil
	}
	if g.grantAhead(args.Turn, args.MaxTokens) {
		return reply, nil
	}
	// Without a change that waits for the store this one finds out whether it is back.
	if p.writing && p.troubledForLocked(troubleLimit) {
		return BeginReply{Outcome: Unavailable}, nil
	}
	c := &change{budget: args.Budget, done: make(chan struct{}), turn: t}
	h.enterLocked(p, c)
	return reply, c
}

// End settles a turn. It reports whether the store has it: any number of hosts may be
// lost at once, so a turn that only hosts hold is not kept.
func (h *Home) End(ctx context.Context, t Turn) bool {
	p := h.parts[PartitionOf(t.Account, t.Program)]
	if !h.ensureLoaded(ctx, p) {
		return false
	}
	p.mu.Lock()
	c := p.unsavedLocked(t.ID, t.State)
	if c == nil {
		c = &change{turn: t, done: make(chan struct{})}
		h.enterLocked(p, c)
	}
	p.mu.Unlock()
	select {
	case <-c.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// enterLocked applies a change and queues it for the store.
func (h *Home) enterLocked(p *partition, c *change) {
	t := c.turn
	p.mergeLocked(&t)
	p.unsaved = append(p.unsaved, c)
	if !p.writing {
		p.writing = true
		go h.write(p)
	}
}

// Locate looks for a turn of an account in all partitions that are loaded here. It
// reads the newest records of those that owns reports first, and is certain of them.
func (h *Home) Locate(ctx context.Context, args LocateArgs, owns func(partition int) bool) LocateReply {
	for _, p := range h.parts {
		if reply := p.locate(args); reply.Outcome != UnknownParent {
			return reply
		}
	}
	reply := LocateReply{Outcome: UnknownParent}
	for _, p := range h.parts {
		if !owns(p.id) || !h.ensureSynced(ctx, p) {
			continue
		}
		if found := p.locate(args); found.Outcome != UnknownParent {
			return found
		}
		reply.Certain |= 1 << p.id
	}
	return reply
}

// Warm loads the partitions for which wanted reports true.
func (h *Home) Warm(ctx context.Context, wanted func(partition int) bool) {
	for _, p := range h.parts {
		if ctx.Err() == nil && wanted(p.id) {
			h.ensureLoaded(ctx, p)
		}
	}
}

// Idle reports whether no change waits for the store.
func (h *Home) Idle() bool {
	for _, p := range h.parts {
		p.mu.Lock()
		waiting := len(p.unsaved) > 0
		p.mu.Unlock()
		if waiting {
			return false
		}
	}
	return true
}
