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

// maxBuffered is the largest answer that is read whole before the caller gets any of
// it, so that a broken one can be told from a whole one.
const maxBuffered = 1 << 20

// errUnsigned: the answer does not bear the signature of a replica.
var errUnsigned = errors.New("answer is not signed")

// drain reads the rest of a short answer, so that its connection can be kept.
func drain(a *forward.Answer) {
	// A broken answer is not needed; Close then ends the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(a, 4<<10))
}

// serve serves a request that keeps no turn.
func (x *exchange) serve(ctx context.Context) {
	q := replica.Query{Service: x.service.Name, Class: x.route.Name}
	body := [][]byte{x.body}
	for {
		a, err := x.dispatch(ctx, body, q)
		if err != nil {
			x.fail(ctx, err)
			return
		}
		if x.route.Kind == route.Streaming && a.answer.Status == http.StatusOK {
			x.stream(ctx, a, nil)
			return
		}
		content, err := x.readWhole(a)
		retry := x.route.Kind == route.Safe && x.attempts < max(x.route.MaxAttempts, 1) && ctx.Err() == nil
		switch {
		case err != nil:
			a.end(x.blame(ctx), 1)
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
			x.pass(a.answer, content)
			return
		}
	}
}

// blame returns the result of an attempt whose answer failed.
func (x *exchange) blame(ctx context.Context) replica.Result {
	if ctx.Err() != nil {
		return replica.Abandoned
	}
	return replica.Broken
}

// readWhole reads an answer and checks that it is one.
func (x *exchange) readWhole(a *attempt) ([]byte, error) {
	if !a.info.Signed {
		return nil, errUnsigned
	}
	if a.answer.Header.Get("Content-Encoding") != "" {
		return nil, oops.Errorf("answer has a content encoding")
	}
	content, err := io.ReadAll(io.LimitReader(a.answer, maxBuffered+1))
	if err != nil {
		return nil, oops.With("cause", err.Error()).Wrap(forward.ErrBroken)
	}
	if len(content) > maxBuffered {
		return nil, oops.Errorf("answer is longer than %d bytes", maxBuffered)
	}
	return content, nil
}

// copyHead copies status and headers of an answer.
func (x *exchange) copyHead(a *forward.Answer) {
	h := x.w.Header()
	closing := h.Get("Connection")
	for name, values := range EndToEnd(a.Header) {
		h[name] = values
	}
	if closing != "" {
		h.Set("Connection", closing)
	}
	if _, typed := h["Content-Type"]; !typed {
		h["Content-Type"] = nil // net/http would guess one
	}
}

// pass sends a whole answer to the caller.
func (x *exchange) pass(a *forward.Answer, content []byte) {
	x.copyHead(a)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	x.status = a.Status
	x.w.WriteHeader(a.Status)
	// The caller may have left; its answer is lost then.
	_, _ = x.w.Write(content)
}
