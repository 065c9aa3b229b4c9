package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/samber/oops"

	"cowslipgw/internal/event"
	"cowslipgw/internal/forward"
	"cowslipgw/internal/replica"
)

const (
	// streamBuffer is the size of one read from a stream; an event has about 100 bytes.
	streamBuffer = 4 << 10
	// maxEvent is the maximum size of one event, in bytes.
	maxEvent = 1 << 20
)

// errEventTooLong is returned if an event exceeds maxEvent.
var errEventTooLong = errors.New("event is too long")

// errReservationExceeded is returned if a stream has more tokens than the turn reserved.
var errReservationExceeded = errors.New("stream exceeds the tokens reserved for it")

// streamResult is what a stream delivered to the caller.
type streamResult struct {
	// output is what an engine reads of the answer when the program continues.
	output []byte
	events int
}

// stream forwards complete events as they arrive. Only the end of the stream is delayed
// until the turn is stored; t is nil if the route stores none. If the upstream's stream
// ends early and cannot be resumed, the caller gets an error if it was sent nothing yet;
// otherwise its connection is aborted.
func (x *exchange) stream(ctx context.Context, a *attempt, body [][]byte, q replica.Query, t *turn) {
	copyEndToEnd(x.w.Header(), a.answer.Header)
	x.w.Header().Del("Content-Length")
	x.closeAfterAnswer()
	x.status = a.answer.Status
	var s eventParser
	for {
		err := x.copyEvents(a, &s, t.maxEvents())
		if errors.Is(err, errCallerLeft) {
			a.end(replica.Abandoned, s.count)
			t.close(streamResult{events: s.count})
			x.abort("caller disconnected")
		}
		if err == nil {
			a.end(replica.Answered, s.count)
			x.completed()
			break
		}
		a.end(x.brokenResult(a.lease.Record(), replica.Broken), s.count)
		if isBroken(err) && ctx.Err() == nil {
			x.breakOff(a.lease.Record())
		}
		s.resume()
		if x.mayResume(ctx, err) {
			if a, err = x.continueStream(ctx, body, q, s.lastID); err == nil {
				t.movedTo(x.replica)
				continue
			}
		}
		t.close(streamResult{events: min(s.count, t.maxEvents())})
		x.endEarly(ctx, "replica stream ended early")
		return
	}
	if !t.complete(ctx, streamResult{output: s.data, events: s.count}) {
		x.endEarly(ctx, "turn was not stored in time")
		return
	}
	x.beforeWrite() // the server writes the end of the stream
}

// endEarly ends a stream that cannot be completed.
func (x *exchange) endEarly(ctx context.Context, reason string) {
	if x.headSent {
		x.abort(reason)
	}
	x.dropHeader()
	status := http.StatusBadGateway
	if ctx.Err() != nil {
		status = http.StatusGatewayTimeout
	}
	x.refuse(refusal{status: status, reason: reason})
}

// errCallerLeft is returned if the caller's connection cannot be written to.
var errCallerLeft = errors.New("caller disconnected")

// copyEvents forwards the complete events of one attempt, up to maxEvents in the whole stream.
// It returns nil if the stream ended after a complete event.
func (x *exchange) copyEvents(a *attempt, s *eventParser, maxEvents int) error {
	flusher := http.NewResponseController(x.w)
	buffer := make([]byte, streamBuffer)
	for {
		n, err := a.answer.Read(buffer)
		complete := s.add(buffer[:n])
		if s.count > maxEvents {
			x.g.events.Log(event.ReservationExceeded, event.Fields{"request": x.call.ID, "replica": x.replica, "events": s.count})
			return errReservationExceeded
		}
		if len(complete) > 0 {
			x.headSent = true
			x.beforeWrite()
			_, writeErr := x.w.Write(complete)
			if writeErr == nil {
				writeErr = flusher.Flush()
			}
			if writeErr != nil {
				return errCallerLeft
			}
		}
		switch {
		case len(s.partial) > maxEvent:
			return errEventTooLong
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
