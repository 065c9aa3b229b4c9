package turns

import (
	"context"
	"maps"
	"time"

	"cowslipgw/internal/peers"
)

// release asks the other owners which turns they granted without a record for a program, so
// that only those count against the budget instead of the whole preallocations. It reports
// whether any preallocation was reduced.
func (o *Owner) release(ctx context.Context, p *partition, args BeginArgs) bool {
	key := programKey{args.Account, args.Program}
	p.mu.Lock()
	g := p.programs[key]
	var foreign map[int64]int
	var backups map[int64]int64
	offset := int64(0)
	if g != nil {
		foreign, backups, offset = maps.Clone(g.foreign), maps.Clone(g.foreignBackups), g.foreignOffset
	}
	p.mu.Unlock()
	released := false
	for writer, preallocation := range foreign {
		if preallocation == 0 {
			continue
		}
		reply, presence := o.peers.Release(ctx, ReleaseArgs{Writer: writer, Account: args.Account, Program: args.Program})
		if presence == Present {
			o.terminated.answered(writer)
			released = o.applyRelease(p, key, offset, writer, reply.Open) || released
			continue
		}
		if sealed, ok := o.sealCopies(ctx, SealArgs{Backup: backups[writer], Writer: writer, Account: args.Account, Program: args.Program}); ok {
			released = o.applyRelease(p, key, offset, writer, sealed.Open) || released
			continue
		}
		if o.hasEnded(writer, presence) {
			released = p.forgive(key, g, offset, writer, args.MaxTokens) || released
		}
	}
	return released
}

// hasEnded reports whether an owner has ended so long ago that no turn that it granted is under way.
func (o *Owner) hasEnded(writer int64, presence Presence) bool {
	if presence == Terminated {
		return o.terminated.settled(writer)
	}
	return presence == Unreachable && o.terminated.removed(writer)
}

// ObserveHosts records which runs of hosts exist, and thereby when earlier ones had ended.
func (o *Owner) ObserveHosts(hosts []peers.Host) { o.terminated.observe(hosts, time.Now()) }

// unresolvedFor returns how long it may take until it is known whether an exhausted budget holds a turn, since
// other owners may have granted less than they have preallocated; 0 if it does not hold it.
func (o *Owner) unresolvedFor(p *partition, args BeginArgs) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.programs[programKey{args.Account, args.Program}]
	if g == nil {
		return 0
	}
	unresolved, longest, now := 0, time.Duration(0), time.Now()
	for writer, tokens := range g.foreign {
		if wait := o.terminated.unresolvedFor(writer, now); tokens > 0 && wait > 0 {
			unresolved += tokens
			longest = max(longest, wait)
		}
	}
	if g.used()-unresolved+args.MaxTokens > args.Budget {
		return 0
	}
	return longest
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

// applyRelease removes the preallocation of another owner. The turns that it had granted get records, since
// this owner may be lost as well. It reports false if a record of another owner was read since.
func (o *Owner) applyRelease(p *partition, key programKey, offset, writer int64, open map[string]int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.programs[key]
	if g == nil || g.foreignOffset != offset {
		return false
	}
	delete(g.foreign, writer)
	o.recordOpenLocked(p, key, g, open, false)
	o.startWriteLocked(p)
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
