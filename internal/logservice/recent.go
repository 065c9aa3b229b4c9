package logservice

import "cowslipgw/internal/structs"

// Limits of the records that a Follower keeps for peers. The byte limit keeps
// large snapshot records from filling a small host's memory.
const (
	defaultKeep      = 1024
	defaultKeepBytes = 4 << 20
)

// recent holds the newest records of a stream, which are contiguous.
type recent struct {
	keep    int
	bytes   int
	records []Record
}

// add appends contiguous records and drops the oldest above the limits.
func (r *recent) add(records []Record) {
	for _, record := range records {
		r.bytes += len(record.Data)
	}
	r.records = append(r.records, records...)
	drop := 0
	for len(r.records)-drop > r.keep || (r.bytes > defaultKeepBytes && drop < len(r.records)-1) {
		r.bytes -= len(r.records[drop].Data)
		// The array is shared until append moves it, so the data is let go here.
		r.records[drop] = Record{}
		drop++
	}
	r.records = r.records[drop:]
}

// reset drops all records, because the next one does not follow on them.
func (r *recent) reset() {
	r.records = nil
	r.bytes = 0
}

// since returns up to limit records after the offset. It returns false when the
// record right after the offset is not kept any more.
func (r *recent) since(after, last structs.Offset, limit int) ([]Record, bool) {
	if after >= last {
		return nil, true
	}
	if len(r.records) == 0 || after+1 < r.records[0].Offset {
		return nil, false
	}
	start := int(after + 1 - r.records[0].Offset)
	end := min(len(r.records), start+max(0, limit))
	return append([]Record(nil), r.records[start:end]...), true
}
