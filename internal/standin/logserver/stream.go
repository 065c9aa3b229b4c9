package logserver

import "time"

// stream holds the records that are still kept, which are contiguous. end is the
// offset of the newest one, also when it is trimmed.
type stream struct {
	entries []entry
	end     uint64
	// grown is closed at the next append.
	grown chan struct{}
}

func newStream() *stream {
	return &stream{grown: make(chan struct{})}
}

// add appends a record and returns its offset.
func (s *stream) add(id string, data []byte, now time.Time) uint64 {
	s.end++
	s.entries = append(s.entries, entry{Record: Record{Offset: s.end, ID: id, Data: data}, at: now})
	close(s.grown)
	s.grown = make(chan struct{})
	return s.end
}

// first returns the offset of the oldest record that is kept; end+1 when none is.
func (s *stream) first() uint64 {
	if len(s.entries) == 0 {
		return s.end + 1
	}
	return s.entries[0].Offset
}

// trimBelow drops the records below an offset.
func (s *stream) trimBelow(offset uint64) {
	for len(s.entries) > 0 && s.entries[0].Offset < offset {
		s.entries = s.entries[1:]
	}
}

// retain drops what the retention settings do not keep.
func (s *stream) retain(settings Settings, now time.Time) {
	if keep := settings.RetainRecords; keep > 0 && len(s.entries) > keep {
		s.entries = s.entries[len(s.entries)-keep:]
	}
	if settings.RetainFor <= 0 {
		return
	}
	for len(s.entries) > 0 && now.Sub(s.entries[0].at) > settings.RetainFor {
		s.entries = s.entries[1:]
	}
}

// read returns up to limit records after the offset. It returns false when some of
// them are trimmed.
func (s *stream) read(after uint64, limit int) (batch, bool) {
	answer := batch{First: s.first(), End: s.end, Records: []Record{}}
	if after+1 < answer.First {
		return answer, false
	}
	if after >= s.end {
		return answer, true
	}
	rest := s.entries[after+1-answer.First:]
	for _, e := range rest[:min(limit, len(rest))] {
		answer.Records = append(answer.Records, e.Record)
	}
	return answer, true
}
