package logserver

import "time"

// stream holds the retained records, which have contiguous offsets. end is the
// offset of the last appended record, even if it has been trimmed.
type stream struct {
	records []storedRecord
	end     uint64
	// appended is closed and replaced by each append.
	appended chan struct{}
}

func newStream() *stream {
	return &stream{appended: make(chan struct{})}
}

// add appends a record and returns its offset.
func (s *stream) add(id string, data []byte, now time.Time) uint64 {
	s.end++
	s.records = append(s.records, storedRecord{Record: Record{Offset: s.end, ID: id, Data: data}, at: now})
	close(s.appended)
	s.appended = make(chan struct{})
	return s.end
}

// firstOffset returns the offset of the oldest retained record, or end+1 if there
// is none.
func (s *stream) firstOffset() uint64 {
	if len(s.records) == 0 {
		return s.end + 1
	}
	return s.records[0].Offset
}

// trimBelow deletes the records with offsets lower than offset.
func (s *stream) trimBelow(offset uint64) {
	for len(s.records) > 0 && s.records[0].Offset < offset {
		s.records = s.records[1:]
	}
}

// applyRetention deletes the records that exceed the retention settings.
func (s *stream) applyRetention(settings Settings, now time.Time) {
	if maxRecords := settings.RetainRecords; maxRecords > 0 && len(s.records) > maxRecords {
		s.records = s.records[len(s.records)-maxRecords:]
	}
	if settings.RetainFor <= 0 {
		return
	}
	for len(s.records) > 0 && now.Sub(s.records[0].at) > settings.RetainFor {
		s.records = s.records[1:]
	}
}

// read returns up to limit records after the given offset. It returns false if
// some of the records after it have been trimmed.
func (s *stream) read(after uint64, limit int) (readResponse, bool) {
	response := readResponse{First: s.firstOffset(), End: s.end, Records: []Record{}}
	if after+1 < response.First {
		return response, false
	}
	if after >= s.end {
		return response, true
	}
	rest := s.records[after+1-response.First:]
	for _, e := range rest[:min(limit, len(rest))] {
		response.Records = append(response.Records, e.Record)
	}
	return response, true
}
