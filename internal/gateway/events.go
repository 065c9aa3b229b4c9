package gateway

import (
	"bytes"
	"strconv"
)

// eventParser splits a stream of server-sent events and collects their data. The stream may
// consist of several parts if it is resumed.
type eventParser struct {
	partial []byte
	// data contains the data of all complete events, each followed by a line feed.
	data  []byte
	count int
	// lastID is the ID of the last complete event that has one, and resumedAfter its value
	// when the stream was last resumed.
	lastID       string
	resumedAfter string
}

// resume prepares for the next part of the stream. An incomplete event is dropped.
func (s *eventParser) resume() {
	s.partial, s.resumedAfter = nil, s.lastID
}

// add appends bytes of the stream and returns the complete events in them, except those that a
// resumed stream repeats.
func (s *eventParser) add(p []byte) []byte {
	// The end of an event may straddle the bytes that are already there, none of which ends one.
	searched := max(len(s.partial)-1, 0)
	s.partial = append(s.partial, p...)
	end := bytes.LastIndex(s.partial[searched:], []byte("\n\n"))
	if end < 0 {
		return nil
	}
	end += searched
	complete := s.partial[:end+2]
	s.partial = append([]byte(nil), s.partial[end+2:]...)
	var kept []byte
	for _, event := range bytes.SplitAfter(complete, []byte("\n\n")) {
		if len(event) > 0 && s.addEvent(bytes.TrimSuffix(event, []byte("\n\n"))) {
			kept = append(kept, event...)
		}
	}
	return kept
}

// addEvent appends the data of one event. It reports false if the event was added before.
func (s *eventParser) addEvent(event []byte) bool {
	var data []byte
	hasData := false
	for _, line := range bytes.Split(event, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if id, isID := bytes.CutPrefix(line, []byte("id:")); isID {
			id := string(bytes.TrimSpace(id))
			if isRepeated(id, s.resumedAfter) {
				return false
			}
			s.lastID = id
		}
		value, isData := bytes.CutPrefix(line, []byte("data:"))
		if !isData {
			continue
		}
		if hasData {
			data = append(data, '\n')
		}
		hasData = true
		data = append(data, bytes.TrimPrefix(value, []byte(" "))...)
	}
	if hasData {
		s.data = append(append(s.data, data...), '\n')
		s.count++
	}
	return true
}

// isRepeated reports whether an event with the given ID does not come after the event with
// the ID last. IDs that are not numbers are not compared.
func isRepeated(id, last string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return false
	}
	lastNumber, err := strconv.ParseUint(last, 10, 64)
	return err == nil && number <= lastNumber
}
