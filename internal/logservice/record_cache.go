package logservice

import "cowslipgw/internal/structs"

// Limits of the records that a Follower caches for peers. The byte limit prevents large
// snapshot records from exhausting the memory of a small host.
const (
	defaultCachedRecords = 1024
	maxCachedBytes       = 4 << 20
)

// recordCache holds the newest records of a stream without gaps.
type recordCache struct {
	maxRecords int
	size       int // total bytes of the records' data
	records    []Record
}

// add adds records that directly follow the cached ones, and evicts the oldest records
// above the limits. It always keeps the newest record.
func (r *recordCache) add(records []Record) {
	for _, record := range records {
		r.size += len(record.Data)
	}
	r.records = append(r.records, records...)
	drop := 0
	for len(r.records)-drop > r.maxRecords || (r.size > maxCachedBytes && drop < len(r.records)-1) {
		r.size -= len(r.records[drop].Data)
		// The backing array lives until append reallocates it, so release the data here.
		r.records[drop] = Record{}
		drop++
	}
	r.records = r.records[drop:]
}

// reset removes all records. It is called if the next record will leave a gap.
func (r *recordCache) reset() {
	r.records = nil
	r.size = 0
}

// since returns up to limit records after the given offset, where last is the offset of
// the last record of the stream. It returns false if the record directly after the offset
// is no longer cached.
func (r *recordCache) since(after, last structs.Offset, limit int) ([]Record, bool) {
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
