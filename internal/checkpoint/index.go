package checkpoint

import (
	"slices"
	"sync"

	"cowslipgw/internal/event"
	"cowslipgw/internal/logservice"
	"cowslipgw/internal/partition"
	"cowslipgw/internal/structs"
)

// location says where the pieces of a checkpoint are; an offset of 0 is not known yet.
type location struct {
	base    partition.Base
	offsets []structs.Offset
}

// whole reports whether all pieces are known.
func (l location) whole() bool {
	return len(l.offsets) > 0 && !slices.Contains(l.offsets, 0)
}

// index knows the newest whole checkpoint of each partition. It is the handler of the
// stream's follower and safe for concurrent use.
type index struct {
	logger *event.Logger

	mu       sync.Mutex
	newest   map[partition.ID]location
	arriving map[partition.ID]location
}

func newIndex(logger *event.Logger) *index {
	return &index{
		logger:   logger,
		newest:   make(map[partition.ID]location),
		arriving: make(map[partition.ID]location),
	}
}

// Apply notes the entries of records.
func (x *index) Apply(records []logservice.Record) {
	for _, record := range records {
		entries, err := decode(record.Data)
		if err != nil {
			x.logger.Log(event.CheckpointInvalid, event.Fields{"offset": record.Offset, "error": err.Error()})
			continue
		}
		x.mu.Lock()
		for i := range entries {
			x.noteLocked(&entries[i], record.Offset)
		}
		x.mu.Unlock()
	}
}

// noteLocked notes one entry, unless a newer state of its partition is known. An equal
// state replaces the known one, since the log keeps it longer.
func (x *index) noteLocked(e *entry, offset structs.Offset) {
	if known, found := x.newest[e.Partition]; found && e.Base.Before(known.base) {
		return
	}
	found := x.arriving[e.Partition]
	if found.base != e.Base || len(found.offsets) != e.Pieces {
		if len(found.offsets) > 0 && e.Base.Before(found.base) {
			return
		}
		found = location{base: e.Base, offsets: make([]structs.Offset, e.Pieces)}
	}
	found.offsets[e.Piece] = offset
	if !found.whole() {
		x.arriving[e.Partition] = found
		return
	}
	delete(x.arriving, e.Partition)
	x.newest[e.Partition] = found
}

// Trimmed forgets the checkpoints that the log no longer keeps.
func (x *index) Trimmed(first structs.Offset) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, locations := range []map[partition.ID]location{x.newest, x.arriving} {
		for id, found := range locations {
			if slices.ContainsFunc(found.offsets, func(o structs.Offset) bool { return o != 0 && o < first }) {
				delete(locations, id)
			}
		}
	}
}

// find returns the newest whole checkpoint of a partition.
func (x *index) find(id partition.ID) (location, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	found, ok := x.newest[id]
	return found, ok
}
