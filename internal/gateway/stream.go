package gateway

import (
	"context"
	"io"
	"net/http"

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
// ends early, the caller's connection is aborted.
func (x *exchange) stream(ctx context.Context, a *attempt, t *turn) {
	x.copyHeader(a.answer)
	x.w.Header().Del("Content-Length")
	x.status = a.answer.Status
	flusher := http.NewResponseController(x.w)
	var s eventParser
	buffer := make([]byte, streamBuffer)
	for {
		n, err := a.answer.Read(buffer)
		if complete := s.add(buffer[:n]); len(complete) > 0 {
			_, writeErr := x.w.Write(complete)
			if writeErr == nil {
				writeErr = flusher.Flush()
			}
			if writeErr != nil {
				a.end(replica.Abandoned, s.count)
				t.close(streamResult{events: s.count})
				x.abort("caller disconnected")
			}
		}
		if err == nil {
			continue
		}
		if err != io.EOF || len(s.partial) > 0 {
			a.end(replica.Broken, s.count)
			t.close(streamResult{events: s.count})
			x.abort("replica stream ended early")
		}
		a.end(replica.Answered, s.count)
		if !t.complete(ctx, streamResult{output: s.data, events: s.count}) {
			x.abort("turn was not stored in time")
		}
		return
	}
}
