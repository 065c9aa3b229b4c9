package gateway

import "bytes"

// eventParser splits a stream of server-sent events and collects their data.
type eventParser struct {
	partial []byte
	// data contains the data of all complete events, each followed by a line feed.
	data  []byte
	count int
}

// add appends bytes of the stream and returns everything up to the end of the last complete
// event.
func (s *eventParser) add(p []byte) []byte {
	s.partial = append(s.partial, p...)
	end := bytes.LastIndex(s.partial, []byte("\n\n"))
	if end < 0 {
		return nil
	}
	complete := s.partial[:end+2]
	s.partial = append([]byte(nil), s.partial[end+2:]...)
	for _, event := range bytes.Split(complete[:len(complete)-2], []byte("\n\n")) {
		s.addEvent(event)
	}
	return complete
}

// addEvent appends the data of one event.
func (s *eventParser) addEvent(event []byte) {
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
