package turns

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"cowslipgw/internal/event"
	"cowslipgw/internal/peers"
	"cowslipgw/internal/storelog"
)

const (
	// copyDelay is how long a change waits for the store before other hosts copy it. An
	// append takes a few milliseconds when the store is well.
	copyDelay = 40 * time.Millisecond
	// maxUnverified is how long after the store's last confirmation copies are enough for
	// a reservation. Another home may have granted meanwhile, so an older state may not
	// grant without the store; keys are usable for little longer.
	maxUnverified = 4 * time.Second
	// exhaustedAge is how long after the store's last confirmation a spent budget needs no
	// further one. Programs without end ask several times a second.
	exhaustedAge = 300 * time.Millisecond
)

// Others are the homes at other hosts.
type Others interface {
	// Copy keeps changes at other hosts. It reports whether enough hosts have them to
	// survive the loss of this one.
	Copy(ctx context.Context, args CopyArgs) bool
	// Release asks the home that is named by writer to grant no more ahead. It reports
	// whether that home answered.
	Release(ctx context.Context, args ReleaseArgs) (ReleaseReply, bool)
}

// WriterOf names the home at a host in records.
func WriterOf(h peers.Host) int64 {
	return int64(xxhash.Sum64String(h.ID + "/" + strconv.FormatInt(h.Incarnation, 10)))
}

// Home decides for partitions. Its methods are safe for concurrent use.
type Home struct {
	log    storelog.Log
	others Others
	events *event.Logger
	parts  [Partitions]*partition
	// appendTime is the usual time of an append.
	appendTime average
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
	if c == nil {
		return reply
	}
	if !h.waitReserved(ctx, p, c) {
		return BeginReply{Outcome: Unavailable}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.withdrawn {
		return BeginReply{Outcome: Exhausted}
	}
	return reply
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
	c := &change{budget: args.Budget, done: make(chan struct{}), turn: t}
	h.enterLocked(p, c)
	return reply, c
}

// End settles a turn. It reports whether the store has it: any number of hosts may be
// lost at once, so copies at hosts do not count.
func (h *Home) End(ctx context.Context, t Turn) bool {
	p := h.parts[PartitionOf(t.Account, t.Program)]
	if !h.ensureLoaded(ctx, p) {
		return false
	}
	c := &change{turn: t, done: make(chan struct{})}
	p.mu.Lock()
	h.enterLocked(p, c)
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

// waitReserved waits until the store or enough other hosts have a reservation.
func (h *Home) waitReserved(ctx context.Context, p *partition, c *change) bool {
	p.mu.Lock()
	troubled := p.troubled
	p.mu.Unlock()
	if !troubled {
		timer := time.NewTimer(copyDelay)
		defer timer.Stop()
		select {
		case <-c.done:
			return true
		case <-ctx.Done():
			return false
		case <-timer.C:
		}
		p.trouble()
	}
	p.mu.Lock()
	unverified := time.Since(p.verified)
	p.mu.Unlock()
	// Without copies the channel stays nil, and only the store can keep the reservation.
	var copied <-chan bool
	if unverified <= maxUnverified {
		enough := make(chan bool, 1)
		copied = enough
		go func() { enough <- h.others.Copy(ctx, CopyArgs{Partition: p.id, Turns: []Turn{c.turn}}) }()
	}
	for {
		select {
		case <-c.done:
			return true
		case <-ctx.Done():
			return false
		case enough := <-copied:
			if enough {
				h.events.Log(event.TurnUnsaved, event.Fields{"turn": c.turn.ID, "partition": p.id})
				return true
			}
			copied = nil
		}
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

// Keep holds copies of another home's changes.
func (h *Home) Keep(args CopyArgs) {
	if args.Partition < 0 || args.Partition >= Partitions {
		return
	}
	p := h.parts[args.Partition]
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range args.Turns {
		if old := p.copies[t.ID]; old == nil || old.turn.State <= t.State {
			p.copies[t.ID] = &keptCopy{turn: t, since: now}
		}
	}
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
