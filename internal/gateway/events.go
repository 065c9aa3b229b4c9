package gateway

import "bytes"

// eventSplitter cuts a stream into events and gathers their data.
type eventSplitter struct {
	rest []byte
	// data holds the data of all whole events, each followed by a line feed.
	data  []byte
	count int
}

// add appends bytes of the stream and returns those that end whole events.
func (s *eventSplitter) add(p []byte) []byte {
	s.rest = append(s.rest, p...)
	end := bytes.LastIndex(s.rest, []byte("\n\n"))
	if end < 0 {
		return nil
	}
	whole := s.rest[:end+2]
	s.rest = append([]byte(nil), s.rest[end+2:]...)
	for _, event := range bytes.Split(whole[:len(whole)-2], []byte("\n\n")) {
		s.event(event)
	}
	return whole
}

// event gathers the data of one event.
func (s *eventSplitter) event(event []byte) {
	first := true
	for _, line := range bytes.Split(event, []byte("\n")) {
		value, isData := bytes.CutPrefix(bytes.TrimSuffix(line, []byte("\r")), []byte("data:"))
		if !isData {
			continue
		}
		if !first {
			s.data = append(s.data, '\n')
		}
		first = false
		s.data = append(s.data, bytes.TrimPrefix(value, []byte(" "))...)
	}
	if !first {
		s.data = append(s.data, '\n')
		s.count++
	}
}
