package checkpoint

import (
	"context"
	"crypto/rand"
	"slices"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/partition"
)

// writtenCheckpoint is the last checkpoint of a partition that this host appended.
type writtenCheckpoint struct {
	base partition.Base
	at   time.Time
}

// dueCheckpoint is a partition that needs a checkpoint, and the time of its last one.
type dueCheckpoint struct {
	id partition.ID
	at time.Time
}

// writeDue appends checkpoints of the owned partitions that changed or whose checkpoint
// is due to be repeated (see repeatsPerRetention), those with the oldest checkpoint
// first. Partitions that exceed the append limit wait for the next round.
func (s *Store) writeDue(ctx context.Context) {
	limit := max(1, int(s.options.AppendRate()*s.options.Interval.Seconds())-s.excessAppends)
	var entries []entry
	size, appends, skipped := 0, 0, 0
	for _, d := range s.dueCheckpoints(time.Now()) {
		if appends+1 >= max(2, limit) || ctx.Err() != nil {
			skipped++
			continue
		}
		base, state, ok := s.options.Owned.CopyOf(d.id)
		if !ok {
			continue
		}
		for _, e := range split(d.id, base, state) {
			if size > 0 && size+len(e.State)+entryOverhead > maxRecordBytes {
				s.appendRecord(ctx, entries)
				entries, size, appends = nil, 0, appends+1
			}
			entries = append(entries, e)
			size += len(e.State) + entryOverhead
		}
	}
	if size > 0 {
		s.appendRecord(ctx, entries)
		appends++
	}
	// A state of many pieces may exceed the limit; the next round's limit is reduced by
	// the excess.
	s.excessAppends = max(0, appends-limit)
	if skipped > 0 && ctx.Err() == nil {
		s.options.Logger.Log(event.CheckpointLagging, event.Fields{"partitions": skipped})
	}
}

// dueCheckpoints lists the owned partitions that need a checkpoint, and removes
// partitions that this host no longer owns from lastWritten.
func (s *Store) dueCheckpoints(now time.Time) []dueCheckpoint {
	var found []dueCheckpoint
	owned := make(map[partition.ID]writtenCheckpoint)
	s.options.Owned.VisitBases(func(id partition.ID, base partition.Base, machine partition.StateMachine) {
		last, known := s.lastWritten[id]
		if known {
			owned[id] = last
		}
		if !known && s.options.Empty(machine) {
			return
		}
		if !known || last.base != base || now.Sub(last.at) >= s.options.Retention/repeatsPerRetention {
			found = append(found, dueCheckpoint{id, last.at})
		}
	})
	s.lastWritten = owned
	slices.SortStableFunc(found, func(a, b dueCheckpoint) int { return a.at.Compare(b.at) })
	return found
}

// appendRecord appends one record. If the append fails, the record may be missing from
// the log; its partitions remain due and are written again in the next round.
func (s *Store) appendRecord(ctx context.Context, entries []entry) {
	data, err := encode(entries)
	if err == nil {
		_, err = s.options.Appender.Append(ctx, Stream, rand.Text(), data)
	}
	if err != nil {
		s.options.Logger.Log(event.CheckpointAppendFailed, event.Fields{"error": err.Error()})
		return
	}
	now := time.Now()
	s.appends.Add(1)
	s.bytes.Add(int64(len(data)))
	for _, e := range entries {
		if e.Piece == e.Pieces-1 {
			s.lastWritten[e.Partition] = writtenCheckpoint{e.Base, now}
		}
	}
}
