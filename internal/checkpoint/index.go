package checkpoint

import (
	"slices"
	"sync"

	"cowslipgw/internal/event"
	"cowslipgw/internal/logservice"
	"cowslipgw/internal/partition"
	"cowslipgw/internal/structs"
)

// recordLocation holds the log offsets of a checkpoint's pieces; an offset of 0 is not
// known yet.
type recordLocation struct {
	base    partition.Base
	offsets []structs.Offset
}

// complete reports whether the offsets of all pieces are known.
func (l recordLocation) complete() bool {
	return len(l.offsets) > 0 && !slices.Contains(l.offsets, 0)
}

// index maps each partition to its newest complete checkpoint. It is the handler of the
// stream's follower and is safe for concurrent use.
type index struct {
	logger *event.Logger

	mu sync.Mutex
	// newest holds the newest complete checkpoints, partial those of which pieces are
	// still missing.
	newest  map[partition.ID]recordLocation
	partial map[partition.ID]recordLocation
}

func newIndex(logger *event.Logger) *index {
	return &index{
		logger:  logger,
		newest:  make(map[partition.ID]recordLocation),
		partial: make(map[partition.ID]recordLocation),
	}
}

// Apply adds the entries of the records to the index.
func (x *index) Apply(records []logservice.Record) {
	for _, record := range records {
		entries, err := decode(record.Data)
		if err != nil {
			x.logger.Log(event.CheckpointRecordInvalid, event.Fields{"offset": record.Offset, "error": err.Error()})
			continue
		}
		x.mu.Lock()
		for i := range entries {
			x.recordLocked(&entries[i], record.Offset)
		}
		x.mu.Unlock()
	}
}

// recordLocked adds one entry, unless the index has a newer state of its partition. An
// entry with an equal state replaces the indexed one, because the log keeps the later
// record longer.
func (x *index) recordLocked(e *entry, offset structs.Offset) {
	if known, found := x.newest[e.Partition]; found && e.Base.Before(known.base) {
		return
	}
	found := x.partial[e.Partition]
	if found.base != e.Base || len(found.offsets) != e.Pieces {
		if len(found.offsets) > 0 && e.Base.Before(found.base) {
			return
		}
		found = recordLocation{base: e.Base, offsets: make([]structs.Offset, e.Pieces)}
	}
	found.offsets[e.Piece] = offset
	if !found.complete() {
		x.partial[e.Partition] = found
		return
	}
	delete(x.partial, e.Partition)
	x.newest[e.Partition] = found
}

// Trimmed removes the checkpoints that the log no longer keeps.
func (x *index) Trimmed(first structs.Offset) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, locations := range []map[partition.ID]recordLocation{x.newest, x.partial} {
		for id, found := range locations {
			if slices.ContainsFunc(found.offsets, func(o structs.Offset) bool { return o != 0 && o < first }) {
				delete(locations, id)
			}
		}
	}
}

// lookup returns the newest complete checkpoint of a partition.
func (x *index) lookup(id partition.ID) (recordLocation, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	found, ok := x.newest[id]
	return found, ok
}
