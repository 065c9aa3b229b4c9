package turns

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/peers"
	"cowslipgw/internal/storelog"
)

const (
	// appendFailureLimit is how long appends to a partition may fail before turns that need
	// a record are rejected immediately.
	appendFailureLimit = 500 * time.Millisecond
	// exhaustedAge is the age up to which the store's last confirmation suffices to report
	// an exhausted budget without another read. Programs that never end ask several times a
	// second.
	exhaustedAge = 300 * time.Millisecond
	// settlementWait is how long a turn waits for the settlement of others that may make room
	// in the budget: a program's next turn may arrive before the settlement of its last one.
	settlementWait = 150 * time.Millisecond
	// settlementPoll is the interval at which such a turn is decided anew.
	settlementPoll = 5 * time.Millisecond
)

// Peers are the owners at other hosts.
type Peers interface {
	// Release asks the owner identified by args.Writer to stop granting preallocated
	// tokens.
	Release(ctx context.Context, args ReleaseArgs) (ReleaseReply, Presence)
}

// Owner decides for the partitions that this host owns. Its methods are safe for concurrent
// use.
type Owner struct {
	log   storelog.Log
	peers Peers
	// backups keep copies of this owner's grants; nil if none do.
	backups     Backups
	backupRests backupRests
	// copies are those that this owner keeps of the grants of others.
	copies grantCopies
	// writer identifies this owner in records.
	writer     int64
	events     *event.Logger
	partitions [Partitions]*partition
	// appendTime is the average duration of an append.
	appendTime storelog.MovingAverage
	// terminated records when other owners were first found to have terminated.
	terminated terminatedOwners
	limits     Limits
	contents   *contentCache
	// held is the total size of the contents of pending changes, in bytes.
	held atomic.Int64
	// stopping is set when the host drains; changes are then written at once.
	stopping atomic.Bool
	// loadSlots holds one token for each load in progress.
	loadSlots chan struct{}
}

// NewOwner returns the owner that runs on host self. Each topic has partsPerTopic
// partitions.
func NewOwner(self peers.Host, log storelog.Log, remote Peers, partsPerTopic int, events *event.Logger) *Owner {
	limits := DefaultLimits()
	writer := WriterOf(self)
	o := &Owner{log: log, peers: remote, writer: writer, events: events, loadSlots: make(chan struct{}, maxLoads),
		limits: limits, contents: newContentCache(limits.ContentBytes)}
	for id := range o.partitions {
		o.partitions[id] = newPartition(id, partsPerTopic, writer, o.contents)
	}
	return o
}

// SetLimits replaces the default limits. It must be called before the owner is used.
func (o *Owner) SetLimits(l Limits) {
	o.limits = l
	o.contents.limit = l.ContentBytes
}

// Begin decides whether a turn may begin, and reserves its tokens.
func (o *Owner) Begin(ctx context.Context, args BeginArgs) BeginReply {
	reply := o.begin(ctx, args)
	if reply.Outcome == Exhausted {
		reply.RetryMS = o.unresolvedFor(o.partitions[PartitionOf(args.Account, args.Program)], args).Milliseconds()
	}
	return reply
}

func (o *Owner) begin(ctx context.Context, args BeginArgs) BeginReply {
	p := o.partitions[PartitionOf(args.Account, args.Program)]
	if args.PreallocatedOnly {
		return o.beginPreallocated(ctx, p, args)
	}
	if !o.ensureLoaded(ctx, p) {
		return BeginReply{Outcome: Unavailable}
	}
	d := o.decide(p, args)
	if d.reply.Outcome == UnknownParent || (d.reply.Outcome == Exhausted && !p.verifiedWithin(exhaustedAge)) {
		// Another owner may have written since the last read.
		if o.sync(ctx, p) != nil {
			return BeginReply{Outcome: Unavailable}
		}
		d = o.decide(p, args)
	}
	if d.reply.Outcome == Exhausted && o.release(ctx, p, args) {
		d = o.decide(p, args)
	}
	for waited := time.Duration(0); d.reply.Outcome == Exhausted && waited < settlementWait && p.awaitsSettlement(args); waited += settlementPoll {
		time.Sleep(settlementPoll)
		d = o.decide(p, args)
	}
	if d.reply.Outcome == Exhausted && p.awaitsSettlement(args) {
		// The settlement may have been stored by the former owner of the partition.
		if o.sync(ctx, p) != nil {
			return BeginReply{Outcome: Unavailable}
		}
		d = o.decide(p, args)
	}
	if p.shouldRelease(args) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
			defer cancel()
			o.release(ctx, p, args)
		}()
	}
	if !o.ensureCopied(ctx, p, args, &d) {
		return BeginReply{Outcome: Unavailable, Uncertain: true}
	}
	if c := d.change; c != nil {
		select {
		case <-c.done:
		case <-ctx.Done():
			return BeginReply{Outcome: Unavailable, Uncertain: !p.withdraw(c) || d.backup != 0}
		}
		if outcome := p.outcomeOf(c); outcome != Granted {
			return BeginReply{Outcome: outcome, Uncertain: d.backup != 0}
		}
	}
	reply, history := d.reply, d.history
	if reply.Outcome != Granted || len(history) == 0 {
		return reply
	}
	chain, err := o.history(ctx, p, history, 0, args.MaxChain)
	if err != nil {
		o.historyFailed(p, args.Parent, err)
		return BeginReply{Outcome: Unavailable, Uncertain: true}
	}
	reply.Chain = chain
	return reply
}

// beginPreallocated decides whether a turn may begin within the preallocation.
func (o *Owner) beginPreallocated(ctx context.Context, p *partition, args BeginArgs) BeginReply {
	// A history may have to be read from the store.
	if args.Parent != "" {
		return BeginReply{Outcome: Unavailable}
	}
	d := o.decide(p, args)
	if d.reply.Outcome != Granted {
		return BeginReply{Outcome: Unavailable}
	}
	if !o.ensureCopied(ctx, p, args, &d) {
		return BeginReply{Outcome: Unavailable, Uncertain: true}
	}
	return d.reply
}

// ensureCopied makes the backup keep a copy of a turn that was granted without a record. If it does not, the turn
// gets a record. It reports false if that is not possible.
func (o *Owner) ensureCopied(ctx context.Context, p *partition, args BeginArgs, d *decision) bool {
	if d.backup == 0 {
		return true
	}
	outcome := o.copyGrant(ctx, d.backup, p, args)
	if outcome == Kept {
		return true
	}
	d.change, d.reply.Granter = o.recordGrant(p, args, outcome), 0
	return d.change != nil
}

// outcomeOf returns the outcome of a completed reservation.
func (p *partition) outcomeOf(c *change) Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case c.withdrawn:
		return Exhausted
	case c.rejected:
		return Unavailable
	default:
		return Granted
	}
}

// awaitsSettlement reports whether the turn would fit in the budget if the open turns of the
// program had generated nothing.
func (p *partition) awaitsSettlement(args BeginArgs) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.programs[programKey{args.Account, args.Program}]
	if g == nil {
		return false
	}
	open := 0
	for id := range g.turns {
		if t := p.turns[id]; t.State == Open && id != args.Turn {
			open += t.Tokens
		}
	}
	for id, tokens := range g.unrecorded {
		if p.turns[id] == nil && id != args.Turn {
			open += tokens
		}
	}
	return open > 0 && g.used()-open+args.MaxTokens <= args.Budget
}

// withdraw drops a reservation that was not stored in time. It reports false if the store
// may have it.
func (p *partition) withdraw(c *change) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.sent || c.completed {
		return c.withdrawn
	}
	if t := p.turns[c.turn.ID]; t != nil && t.State == Open {
		p.removeLocked(t.ID)
	}
	c.completeLocked()
	p.dropCompletedLocked()
	return true
}

// decide reserves the tokens of a turn if they fit in its budget, and returns the history that
// the turn continues.
func (o *Owner) decide(p *partition, args BeginArgs) decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.loaded {
		return refused(Unavailable)
	}
	reply := BeginReply{Outcome: Granted}
	var history path
	if args.Parent != "" {
		parent := p.turns[args.Parent]
		if parent == nil || !p.canContinueLocked(parent) {
			return refused(UnknownParent)
		}
		if parent.Account != args.Account {
			return refused(ForeignParent)
		}
		var complete bool
		if history, complete = p.pathLocked(parent); !complete {
			return refused(UnknownParent)
		}
		if history.size() > maxHistory {
			return refused(HistoryTooLong)
		}
		reply.ChainBytes, reply.Replica = history.size(), parent.Replica
		if parent.Program != args.Program {
			reply.Detached = true
			args.Parent = ""
		}
	}
	t := args.turn()
	g := p.programLocked(&t)
	g.budget, g.released = args.Budget, false
	if args.Parent == "" && !reply.Detached {
		reply.Replica = g.replicaOf(args.Session)
	}
	used := g.used() - g.unrecorded[args.Turn]
	if old := p.turns[args.Turn]; old != nil {
		used -= old.Tokens
	}
	reply.First = used == 0
	if args.Budget > 0 && used+args.MaxTokens > args.Budget {
		return refused(Exhausted)
	}
	g.activeAt = time.Now()
	if g.grantPreallocated(args.Turn, args.MaxTokens) {
		g.expiry = max(g.expiry, t.Expiry)
		reply.Granter = p.writer
		return decision{reply: reply, history: history, backup: g.backup}
	}
	if args.PreallocatedOnly {
		return refused(Unavailable)
	}
	// If no write is in progress, this change is written in spite of earlier failures, since
	// its append detects that the store has recovered.
	if p.writing && p.failingForLocked(appendFailureLimit) {
		return refused(Unavailable)
	}
	c := &change{budget: args.Budget, done: make(chan struct{}), turn: t}
	o.enqueueLocked(p, c)
	o.startWriteLocked(p)
	return decision{reply: reply, history: history, change: c}
}

// enqueueLocked applies a change and queues it for the store. The caller must start a write, or
// defer it.
func (o *Owner) enqueueLocked(p *partition, c *change) {
	t := c.turn
	c.held, c.bytes = &o.held, int64(len(t.Input)+len(t.Output))
	o.held.Add(c.bytes)
	p.mergeLocked(&t)
	p.pending = append(p.pending, c)
}

// startWriteLocked writes the pending changes, unless a write is in progress, which takes them.
func (o *Owner) startWriteLocked(p *partition) {
	if p.deferral != nil {
		p.deferral.Stop()
		p.deferral = nil
	}
	if !p.writing && len(p.pending) > 0 {
		p.writing = true
		go o.startWrite(p)
	}
}

// Preload loads the partitions for which wanted returns true.
func (o *Owner) Preload(ctx context.Context, wanted func(partition int) bool) {
	for _, p := range o.partitions {
		if ctx.Err() == nil && wanted(p.id) {
			o.ensureLoaded(ctx, p)
		}
	}
}

// Idle reports whether no change is waiting to be stored that the host has to wait for when it
// stops.
func (o *Owner) Idle() bool {
	for _, p := range o.partitions {
		p.mu.Lock()
		hasPending := slices.ContainsFunc(p.pending, func(c *change) bool { return !c.isRelease })
		p.mu.Unlock()
		if hasPending {
			return false
		}
	}
	return true
}
