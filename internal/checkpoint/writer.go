package checkpoint

import (
	"context"
	"crypto/rand"
	"slices"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/partition"
)

// written is what this host last appended of a partition.
type written struct {
	base partition.Base
	at   time.Time
}

// due is a partition that needs a checkpoint.
type due struct {
	id partition.ID
	at time.Time
}

// write appends checkpoints of the owned partitions that changed or whose checkpoint
// gets old, those first whose last one is the oldest. What exceeds the share of appends
// waits for the next round.
func (s *Store) write(ctx context.Context) {
	limit := max(1, int(s.options.Share()*s.options.Interval.Seconds())-s.excess)
	var entries []entry
	size, appends, left := 0, 0, 0
	for _, d := range s.due(time.Now()) {
		if appends+1 >= max(2, limit) || ctx.Err() != nil {
			left++
			continue
		}
		base, state, ok := s.options.Owned.CopyOf(d.id)
		if !ok {
			continue
		}
		for _, e := range split(d.id, base, state) {
			if size > 0 && size+len(e.State)+entryOverhead > maxRecordBytes {
				s.append(ctx, entries)
				entries, size, appends = nil, 0, appends+1
			}
			entries = append(entries, e)
			size += len(e.State) + entryOverhead
		}
	}
	if size > 0 {
		s.append(ctx, entries)
		appends++
	}
	// A state of many pieces may exceed the limit; the next rounds make up for it.
	s.excess = max(0, appends-limit)
	if left > 0 && ctx.Err() == nil {
		s.options.Logger.Log(event.CheckpointBehind, event.Fields{"partitions": left})
	}
}

// due lists the owned partitions that need a checkpoint. What this host does not own
// any more is forgotten.
func (s *Store) due(now time.Time) []due {
	var found []due
	owned := make(map[partition.ID]written)
	s.options.Owned.VisitBases(func(id partition.ID, base partition.Base, machine partition.Machine) {
		last, known := s.written[id]
		if known {
			owned[id] = last
		}
		if !known && s.options.Empty(machine) {
			return
		}
		if !known || last.base != base || now.Sub(last.at) >= s.options.Retention/repeatsPerRetention {
			found = append(found, due{id, last.at})
		}
	})
	s.written = owned
	slices.SortStableFunc(found, func(a, b due) int { return a.at.Compare(b.at) })
	return found
}

// append appends one record. A record that may not be in the log is written again in
// the next round, since its partitions stay due.
func (s *Store) append(ctx context.Context, entries []entry) {
	data, err := encode(entries)
	if err == nil {
		_, err = s.options.Appender.Append(ctx, Stream, rand.Text(), data)
	}
	if err != nil {
		s.options.Logger.Log(event.CheckpointFailed, event.Fields{"error": err.Error()})
		return
	}
	now := time.Now()
	s.appends.Add(1)
	s.bytes.Add(int64(len(data)))
	for _, e := range entries {
		if e.Piece == e.Pieces-1 {
			s.written[e.Partition] = written{e.Base, now}
		}
	}
}
