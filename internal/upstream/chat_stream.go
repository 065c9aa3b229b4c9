package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// drainTimeout bounds the wait for the end of the body after the final event.
const drainTimeout = 50 * time.Millisecond

// Event is one event of a streamed answer.
type Event struct {
	// Data is the event's JSON, valid until the next call of Next.
	Data []byte
	// UsageOnly is set for the event that carries the usage and no choice.
	UsageOnly bool
}

// ChatStream is a streamed answer.
type ChatStream struct {
	parent, limited context.Context
	cancel          context.CancelCauseFunc
	watch           *time.Timer
	idle            time.Duration
	body            io.ReadCloser
	reader          *SSEReader
	assembler       assembler
	begun           bool
	whole           bool
}

// Next returns the next event. io.EOF means that the answer is whole: it had a
// finish reason and the final event.
func (s *ChatStream) Next() (Event, error) {
	if s.begun {
		s.watch.Reset(s.idle)
	}
	data, err := s.reader.Next()
	// The time that the caller takes to accept an event is not the engine's.
	s.watch.Stop()
	if err != nil {
		return Event{}, s.fail(err)
	}
	s.begun = true
	if string(data) == doneData {
		return Event{}, s.finish()
	}
	var chunk wireChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return Event{}, fmt.Errorf("%w: event is not JSON: %w", ErrCutShort, err)
	}
	if len(chunk.Error) > 0 && string(chunk.Error) != "null" {
		return Event{}, fmt.Errorf("%w: the engine reported %.200s", ErrCutShort, chunk.Error)
	}
	if err := s.assembler.add(&chunk, len(data)); err != nil {
		return Event{}, err
	}
	return Event{Data: data, UsageOnly: len(chunk.Choices) == 0 && chunk.Usage != nil}, nil
}

// finish checks that the answer is whole.
func (s *ChatStream) finish() error {
	if s.assembler.finish == "" {
		return fmt.Errorf("%w: the stream ended without finish_reason", ErrCutShort)
	}
	s.whole = true
	return io.EOF
}

// fail classifies a read error.
func (s *ChatStream) fail(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	cause := causeOr(s.limited, err)
	if errors.Is(cause, ErrTimeout) && s.begun {
		cause = fmt.Errorf("%w: no event for %s", ErrCutShort, s.idle)
	}
	return classify(s.parent, cause)
}

// Answer returns the whole answer after Next returned io.EOF.
func (s *ChatStream) Answer() (*Answer, error) {
	if !s.whole {
		return nil, ErrCutShort
	}
	return s.assembler.answer()
}

// Close ends the stream; the engine sees a cancelled request if it still runs.
func (s *ChatStream) Close() {
	if s.whole {
		// Reading the end of the body lets the connection be used again.
		s.watch.Reset(drainTimeout)
		_, _ = s.reader.Next()
	}
	s.watch.Stop()
	s.cancel(context.Canceled)
	if s.body != nil {
		_ = s.body.Close()
	}
}
