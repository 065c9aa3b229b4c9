package turns

import (
	"context"
	"maps"
)

// release asks the other owners which turns they granted without a record for a program, so
// that only those count against the budget instead of the whole preallocations. It reports
// whether any preallocation was reduced.
func (o *Owner) release(ctx context.Context, p *partition, args BeginArgs) bool {
	key := programKey{args.Account, args.Program}
	p.mu.Lock()
	g := p.programs[key]
	var foreign map[int64]int
	offset := int64(0)
	if g != nil {
		foreign, offset = maps.Clone(g.foreign), g.foreignOffset
	}
	p.mu.Unlock()
	released := false
	for writer, preallocation := range foreign {
		if preallocation == 0 {
			continue
		}
		reply, presence := o.peers.Release(ctx, ReleaseArgs{Writer: writer, Account: args.Account, Program: args.Program})
		switch {
		case presence == Present:
			released = p.applyRelease(key, g, offset, writer, reply) || released
		case presence == Terminated && o.terminated.settled(writer):
			released = p.forgive(key, g, offset, writer, args.MaxTokens) || released
		}
	}
	return released
}

// shouldRelease reports, at most once after each record of another owner, whether others
// hold preallocations for a program. An owner that shuts down gives them back; the tokens
// that one which is lost might have granted count as used until they are forgiven.
func (p *partition) shouldRelease(args BeginArgs) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.programs[programKey{args.Account, args.Program}]
	if g == nil || g.budget == 0 || g.foreignTokens() == 0 || g.releaseOffset == g.foreignOffset {
		return false
	}
	g.releaseOffset = g.foreignOffset
	return true
}

// forgive stops counting a part of the preallocation of an owner that has terminated. By
// now, the hosts that served its turns have settled them or were lost, too.
func (p *partition) forgive(key programKey, g *program, offset, writer int64, maxTokens int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unchangedLocked(key, g, offset) && g.forgive(writer, maxTokens)
}

// unchangedLocked reports whether no other owner has written a record of the program since
// offset; such a record may contain a new preallocation.
func (p *partition) unchangedLocked(key programKey, g *program, offset int64) bool {
	return p.programs[key] == g && g.foreignOffset == offset
}

// applyRelease removes the preallocation that another owner has released. It reports false
// if a record of another owner was read since.
func (p *partition) applyRelease(key programKey, g *program, offset, writer int64, reply ReleaseReply) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.unchangedLocked(key, g, offset) {
		return false
	}
	delete(g.foreign, writer)
	for turn, tokens := range reply.Open {
		if p.turns[turn] == nil {
			g.unrecorded[turn] = tokens
		}
	}
	return true
}

// Release ends this owner's preallocation for a program and returns the turns that may be
// missing from the store. It reports whether this owner is the requested writer.
func (o *Owner) Release(args ReleaseArgs) (ReleaseReply, bool) {
	p := o.partitions[PartitionOf(args.Account, args.Program)]
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.writer != args.Writer {
		return ReleaseReply{}, false
	}
	g := p.programs[programKey{args.Account, args.Program}]
	// The program moves to another owner, which waits for its settlements.
	o.startWriteLocked(p)
	if g == nil {
		return ReleaseReply{}, true
	}
	g.preallocation, g.recorded, g.released = 0, 0, true
	return ReleaseReply{Open: maps.Clone(g.unrecorded)}, true
}
