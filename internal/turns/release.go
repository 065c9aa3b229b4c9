package turns

import (
	"context"
	"maps"
)

// release asks the other homes what they granted without a record for a program, so that
// only that counts against the budget. It reports whether more is known now.
func (h *Home) release(ctx context.Context, p *partition, args BeginArgs) bool {
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
		reply, presence := h.others.Release(ctx, ReleaseArgs{Writer: writer, Account: args.Account, Program: args.Program})
		switch {
		case presence == Present:
			released = p.released(key, g, offset, writer, reply) || released
		case presence == Gone && h.gone.settled(writer):
			released = p.forgive(key, g, offset, writer, args.MaxTokens) || released
		}
	}
	return released
}

// shouldRelease reports, once after each record of another home, whether others hold
// preallocations for a program. A home that leaves can be asked while it drains; later, what it
// might have granted counts until it is forgiven.
func (p *partition) shouldRelease(args BeginArgs) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.programs[programKey{args.Account, args.Program}]
	if g == nil || g.budget == 0 || g.inherited() == 0 || g.askedAt == g.foreignOffset {
		return false
	}
	g.askedAt = g.foreignOffset
	return true
}

// forgive gives up a part of the preallocation of a home that is gone. Hosts that served its
// turns have settled them by now, or were lost, too.
func (p *partition) forgive(key programKey, g *program, offset, writer int64, largest int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unchangedLocked(key, g, offset) && g.forgive(writer, largest)
}

// unchangedLocked reports whether no other home has written for a program since offset, and
// so may have got a new preallocation.
func (p *partition) unchangedLocked(key programKey, g *program, offset int64) bool {
	return p.programs[key] == g && g.foreignOffset == offset
}

// released enters that a home has given up its preallocation. It reports false if another home
// has written since.
func (p *partition) released(key programKey, g *program, offset, writer int64, reply ReleaseReply) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.unchangedLocked(key, g, offset) {
		return false
	}
	delete(g.foreign, writer)
	for turn, tokens := range reply.Open {
		if p.turns[turn] == nil {
			g.open[turn] = tokens
		}
	}
	return true
}

// Release ends this home's preallocation for a program, and names the turns that the store may
// lack. It reports whether this home is the writer that is asked.
func (h *Home) Release(args ReleaseArgs) (ReleaseReply, bool) {
	p := h.parts[PartitionOf(args.Account, args.Program)]
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.writer != args.Writer {
		return ReleaseReply{}, false
	}
	g := p.programs[programKey{args.Account, args.Program}]
	if g == nil {
		return ReleaseReply{}, true
	}
	g.ahead = 0
	return ReleaseReply{Open: maps.Clone(g.open)}, true
}
