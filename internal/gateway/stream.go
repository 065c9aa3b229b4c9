package gateway

import (
	"context"
	"io"
	"net/http"

	"cowslipgw/internal/replica"
)

// streamBuffer is the size of one read of a stream; an event has about 100 bytes.
const streamBuffer = 4 << 10

// streamed is what a stream handed to the caller.
type streamed struct {
	// output is what an engine reads of the answer when the program goes on.
	output []byte
	events int
}

// stream passes events on as they arrive. Only the end of the stream waits until the
// turn is kept; t is nil if none is. A stream that breaks off ends the caller's
// connection.
func (x *exchange) stream(ctx context.Context, a *attempt, t *turn) {
	x.copyHead(a.answer)
	x.w.Header().Del("Content-Length")
	x.status = a.answer.Status
	flusher := http.NewResponseController(x.w)
	var s eventSplitter
	buffer := make([]byte, streamBuffer)
	for {
		n, err := a.answer.Read(buffer)
		if whole := s.add(buffer[:n]); len(whole) > 0 {
			_, writeErr := x.w.Write(whole)
			if writeErr == nil {
				writeErr = flusher.Flush()
			}
			if writeErr != nil {
				a.end(replica.Abandoned, s.count)
				t.broken(streamed{events: s.count})
				x.abort("caller left")
			}
		}
		if err == nil {
			continue
		}
		if err != io.EOF || len(s.rest) > 0 {
			a.end(replica.Broken, s.count)
			t.broken(streamed{events: s.count})
			x.abort("stream of the replica broke off")
		}
		a.end(replica.Answered, s.count)
		if !t.whole(ctx, streamed{output: s.data, events: s.count}) {
			x.abort("turn could not be kept in time")
		}
		return
	}
}
