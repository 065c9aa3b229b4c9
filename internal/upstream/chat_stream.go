package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// drainTimeout limits the wait for the end of the body after the final event.
const drainTimeout = 50 * time.Millisecond

// Event is one event of a streamed answer.
type Event struct {
	// Data is the JSON of the event, valid until the next call of Next.
	Data []byte
	// UsageOnly is set for an event that carries usage but no choice.
	UsageOnly bool
}

// ChatStream reads a streamed answer.
type ChatStream struct {
	parent, requestCtx context.Context
	cancel             context.CancelCauseFunc
	watchdog           *time.Timer
	idleTimeout        time.Duration
	body               io.ReadCloser
	reader             *SSEReader
	assembler          assembler
	started            bool
	complete           bool
}

// Next returns the next event. It returns io.EOF only if the answer is complete, that
// is, after a finish reason and the final event.
func (s *ChatStream) Next() (Event, error) {
	if s.started {
		s.watchdog.Reset(s.idleTimeout)
	}
	data, err := s.reader.Next()
	// The time that the caller takes to process an event does not count as idle time.
	s.watchdog.Stop()
	if err != nil {
		return Event{}, s.readError(err)
	}
	s.started = true
	if string(data) == doneData {
		return Event{}, s.checkComplete()
	}
	var chunk wireChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return Event{}, fmt.Errorf("%w: invalid JSON in event: %w", ErrIncompleteAnswer, err)
	}
	if len(chunk.Error) > 0 && string(chunk.Error) != "null" {
		return Event{}, fmt.Errorf("%w: engine reported error %.200s", ErrIncompleteAnswer, chunk.Error)
	}
	if err := s.assembler.add(&chunk, len(data)); err != nil {
		return Event{}, err
	}
	return Event{Data: data, UsageOnly: len(chunk.Choices) == 0 && chunk.Usage != nil}, nil
}

// checkComplete marks the answer as complete if it has a finish reason.
func (s *ChatStream) checkComplete() error {
	if s.assembler.finishReason == "" {
		return fmt.Errorf("%w: stream ended without finish_reason", ErrIncompleteAnswer)
	}
	s.complete = true
	return io.EOF
}

// readError classifies an error from reading the stream.
func (s *ChatStream) readError(err error) error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	cause := causeOr(s.requestCtx, err)
	if errors.Is(cause, ErrTimeout) && s.started {
		cause = fmt.Errorf("%w: no event for %s", ErrIncompleteAnswer, s.idleTimeout)
	}
	return classifyError(s.parent, cause)
}

// Answer returns the complete answer. It may only be called after Next returned io.EOF.
func (s *ChatStream) Answer() (*Answer, error) {
	if !s.complete {
		return nil, ErrIncompleteAnswer
	}
	return s.assembler.answer()
}

// Close closes the stream and cancels the request if it is still running.
func (s *ChatStream) Close() {
	if s.complete {
		// The connection can only be reused once the body was read to its end.
		s.watchdog.Reset(drainTimeout)
		_, _ = s.reader.Next()
	}
	s.watchdog.Stop()
	s.cancel(context.Canceled)
	if s.body != nil {
		_ = s.body.Close()
	}
}
