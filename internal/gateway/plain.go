package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/samber/oops"

	"cowslipgw/internal/event"
	"cowslipgw/internal/forward"
	"cowslipgw/internal/replica"
	"cowslipgw/internal/route"
)

// maxBufferedAnswer is the size of the largest answer that is buffered. An answer is read
// completely before any of it is sent, so that a truncated one is detected in time.
const maxBufferedAnswer = 1 << 20

// errUnsigned is returned if an answer does not bear the signature of a replica.
var errUnsigned = errors.New("answer is not signed")

// skipBody reads the rest of an answer. It fails if the answer is truncated or too long.
func skipBody(a *forward.Answer) error {
	n, err := io.Copy(io.Discard, io.LimitReader(a, maxBufferedAnswer+1))
	return checkBody(n, err)
}

// checkBody returns the error for a body of which n bytes were read.
func checkBody(n int64, err error) error {
	switch {
	case err != nil:
		return oops.With("cause", err.Error()).Wrap(forward.ErrBroken)
	case n > maxBufferedAnswer:
		return oops.Errorf("answer is longer than %d bytes", maxBufferedAnswer)
	}
	return nil
}

// servePlain serves a request on a route that does not store turns.
func (x *exchange) servePlain(ctx context.Context) {
	q := x.query()
	body := [][]byte{x.body}
	for {
		a, err := x.startStream(ctx, body, q)
		if err != nil {
			x.fail(ctx, err)
			return
		}
		if x.route.Kind == route.Streaming && a.answer.Status == http.StatusOK && a.info.Signed {
			x.stream(ctx, a, body, q, nil)
			return
		}
		content, err := x.readAnswer(a)
		retry := x.route.Kind == route.Safe && x.attempts < max(x.route.MaxAttempts, 1) && ctx.Err() == nil
		switch {
		case err != nil:
			x.endFailed(ctx, a, err)
			x.g.events.Log(event.AttemptFailed, event.Fields{"request": x.call.ID, "replica": x.replica, "error": err.Error()})
			if !retry {
				x.fail(ctx, err)
				return
			}
		case a.answer.Status >= http.StatusInternalServerError && retry:
			a.end(replica.Broken, 1)
		default:
			result := replica.Answered
			if a.answer.Status >= http.StatusInternalServerError {
				result = replica.Broken
			}
			a.end(result, 1)
			x.completed()
			x.writeAnswer(a.answer, content)
			return
		}
	}
}

// failureResult returns the result to report for an attempt whose answer failed.
func (x *exchange) failureResult(ctx context.Context, r replica.Record) replica.Result {
	if ctx.Err() != nil {
		return replica.Abandoned
	}
	return x.brokenResult(r, replica.Broken)
}

// readAnswer reads a whole answer. It fails if the answer is unsigned, encoded, truncated
// or too long.
func (x *exchange) readAnswer(a *attempt) ([]byte, error) {
	if !a.info.Signed {
		return nil, errUnsigned
	}
	if a.answer.Header.Get("Content-Encoding") != "" {
		return nil, oops.Errorf("answer has a content encoding")
	}
	content, err := io.ReadAll(io.LimitReader(a.answer, maxBufferedAnswer+1))
	if err := checkBody(int64(len(content)), err); err != nil {
		return nil, err
	}
	return content, nil
}

// dropHeader removes what was copied from an answer that is not passed on.
func (x *exchange) dropHeader() {
	h := x.w.Header()
	closing := h.Get("Connection")
	clear(h)
	if closing != "" {
		h.Set("Connection", closing)
	}
}

// writeAnswer sends a buffered answer to the caller.
func (x *exchange) writeAnswer(a *forward.Answer, content []byte) {
	copyEndToEnd(x.w.Header(), a.Header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	x.status = a.Status
	x.closeAfterAnswer()
	x.beforeWrite()
	x.w.WriteHeader(a.Status)
	// A write error means that the caller has disconnected; there is no one left to tell.
	_, _ = x.w.Write(content)
}
