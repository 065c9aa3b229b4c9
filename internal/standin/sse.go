package standin

import (
	"bytes"
	"fmt"
	"net/http"
)

// EventStream writes server-sent events.
type EventStream struct {
	w     http.ResponseWriter
	flush func() error
}

// NewEventStream sends the response headers of an event stream.
func NewEventStream(w http.ResponseWriter) *EventStream {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	s := &EventStream{w: w, flush: http.NewResponseController(w).Flush}
	_ = s.flush()
	return s
}

// Send writes one event with single-line data, and with an id field unless id is
// empty. It returns an error if the client has disconnected.
func (s *EventStream) Send(id string, data []byte) error {
	var event bytes.Buffer
	if id != "" {
		fmt.Fprintf(&event, "id: %s\n", id)
	}
	fmt.Fprintf(&event, "data: %s\n\n", data)
	if _, err := s.w.Write(event.Bytes()); err != nil {
		return err
	}
	return s.flush()
}
