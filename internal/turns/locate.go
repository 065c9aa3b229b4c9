package turns

import (
	"context"
	"sync"

	"cowslipgw/internal/guard"
)

// Locate looks for a turn of an account in all partitions that are loaded here. If it is
// not there, Locate reads the newest records of the partitions that owns reports, searches
// them, and marks them as certain.
func (o *Owner) Locate(ctx context.Context, args LocateArgs, owns func(partition int) bool) LocateReply {
	for _, p := range o.partitions {
		if found, _ := o.locate(ctx, p, args); found.Outcome != UnknownParent {
			return found
		}
	}
	reply := LocateReply{Outcome: UnknownParent}
	var owned []*partition
	for _, p := range o.partitions {
		if owns(p.id) {
			owned = append(owned, p)
		}
	}
	for n, synced := range o.syncAll(ctx, owned) {
		if !synced {
			continue
		}
		found, loaded := o.locate(ctx, owned[n], args)
		if found.Outcome != UnknownParent {
			return found
		}
		if loaded {
			reply.Certain |= 1 << owned[n].id
		}
	}
	return reply
}

// locate looks for a turn in one partition. Loaded reports whether the partition has its turns in
// memory.
func (o *Owner) locate(ctx context.Context, p *partition, args LocateArgs) (found LocateReply, loaded bool) {
	found, history, loaded := p.locate(args.Account, args.Turn)
	if found.Outcome != Located {
		return found, loaded
	}
	var err error
	if found.Chain, err = o.history(ctx, p, history, 0, args.MaxChain); err != nil {
		o.historyFailed(p, args.Turn, err)
		return LocateReply{Outcome: Unavailable}, loaded
	}
	return found, loaded
}

// History returns a part of the history of a turn that Begin or Locate has reported.
func (o *Owner) History(ctx context.Context, args HistoryArgs) HistoryReply {
	for _, p := range o.partitions {
		found, history, _ := p.locate(args.Account, args.Turn)
		if found.Outcome != Located {
			continue
		}
		chain, err := o.history(ctx, p, history, args.From, args.Limit)
		if err != nil {
			o.historyFailed(p, args.Turn, err)
			return HistoryReply{}
		}
		return HistoryReply{Found: true, Chain: chain}
	}
	return HistoryReply{}
}

// syncAll reads the newest records of partitions concurrently, since a slow store answers each
// read late, and reports for which of them it has.
func (o *Owner) syncAll(ctx context.Context, partitions []*partition) []bool {
	synced := make([]bool, len(partitions))
	var wait sync.WaitGroup
	for n, p := range partitions {
		wait.Go(func() {
			// A panic leaves the partition uncertain.
			guard.Run(o.events, "partition read", func() { synced[n] = o.ensureSynced(ctx, p) })
		})
	}
	wait.Wait()
	return synced
}
