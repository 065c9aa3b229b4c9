package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/samber/oops"

	"cowslipgw/internal/forward"
	"cowslipgw/internal/replica"
)

// streamBuffer is the size of one read from a stream; an event has about 100 bytes.
const streamBuffer = 4 << 10

// streamResult is what a stream delivered to the caller.
type streamResult struct {
	// output is what an engine reads of the answer when the program continues.
	output []byte
	events int
}

// stream forwards complete events as they arrive. Only the end of the stream is delayed
// until the turn is stored; t is nil if the route stores none. If the upstream's stream
// ends early and cannot be resumed, the caller's connection is aborted.
func (x *exchange) stream(ctx context.Context, a *attempt, body [][]byte, q replica.Query, t *turn) {
	x.copyHeader(a.answer)
	x.w.Header().Del("Content-Length")
	x.status = a.answer.Status
	var s eventParser
	for {
		err := x.copyEvents(a, &s)
		if errors.Is(err, errCallerLeft) {
			a.end(replica.Abandoned, s.count)
			t.close(streamResult{events: s.count})
			x.abort("caller disconnected")
		}
		if err == nil {
			a.end(replica.Answered, s.count)
			break
		}
		a.end(replica.Broken, s.count)
		s.resume()
		if x.mayResume(ctx, err) {
			if a, err = x.continueStream(ctx, body, q, s.lastID); err == nil {
				t.movedTo(x.replica)
				continue
			}
		}
		t.close(streamResult{events: s.count})
		x.abort("replica stream ended early")
	}
	if !t.complete(ctx, streamResult{output: s.data, events: s.count}) {
		x.abort("turn was not stored in time")
	}
}

// errCallerLeft is returned if the caller's connection cannot be written to.
var errCallerLeft = errors.New("caller disconnected")

// copyEvents forwards the complete events of one attempt. It returns nil if the stream ended
// after a complete event.
func (x *exchange) copyEvents(a *attempt, s *eventParser) error {
	flusher := http.NewResponseController(x.w)
	buffer := make([]byte, streamBuffer)
	for {
		n, err := a.answer.Read(buffer)
		if complete := s.add(buffer[:n]); len(complete) > 0 {
			_, writeErr := x.w.Write(complete)
			if writeErr == nil {
				writeErr = flusher.Flush()
			}
			if writeErr != nil {
				return errCallerLeft
			}
		}
		switch {
		case err == nil:
		case err == io.EOF && len(s.partial) == 0:
			return nil
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		default:
			return oops.With("cause", err.Error()).Wrap(forward.ErrBroken)
		}
	}
}
