package turns

import (
	"context"
	"maps"
)

// release asks the home before this one what it granted ahead for a program, so that
// only that counts against the budget. It reports whether more is known now.
func (h *Home) release(ctx context.Context, p *partition, args BeginArgs) bool {
	key := programKey{args.Account, args.Program}
	p.mu.Lock()
	g := p.programs[key]
	if g == nil || g.inherited == 0 {
		p.mu.Unlock()
		return false
	}
	writer, foreign := g.writer, g.foreign
	p.mu.Unlock()
	reply, answered := h.others.Release(ctx, ReleaseArgs{Writer: writer, Account: args.Account, Program: args.Program})
	if !answered {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.programs[key] != g || g.foreign != foreign {
		return false // another home has written since
	}
	g.inherited = 0
	for turn, tokens := range reply.Open {
		if p.turns[turn] == nil {
			g.open[turn] = tokens
		}
	}
	return true
}

// Release ends the grants ahead for a program that this home may have made by its last
// record. It reports whether it is the writer that is asked.
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
