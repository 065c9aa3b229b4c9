package entry

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"time"

	"cowslipgw/internal/dispatch"
	"cowslipgw/internal/event"
	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
	"cowslipgw/internal/upstream"
)

// copyBufferSize is the size in bytes of the buffer used to forward an app's response.
const copyBufferSize = 32 << 10

// errTruncated ends a response of which the caller has received a part. The connection
// is closed abnormally, so that the caller does not mistake the part for the whole.
var errTruncated = errors.New("the response was truncated")

// appCall is one request to an app service in progress.
type appCall struct {
	*session
	incoming       *http.Request
	target         appTarget
	reply          *reply
	idempotencyKey string
	// body is the whole request body, or its first part if bodyRest is set.
	body     []byte
	bodyRest io.Reader
}

// execute runs the call to completion and responds to the caller.
func (c *appCall) execute() {
	defer c.cleanupOnPanic()
	err := c.answer()
	if err == nil {
		return
	}
	problem := c.failure(err)
	c.cleanup()
	if errors.Is(err, errTruncated) {
		c.reply.abort()
		return
	}
	c.reply.fail(problem)
}

// answer sends the call to replicas until one responds.
func (c *appCall) answer() error {
	request := dispatch.Request{
		Pool:    c.target.route.Pool,
		Account: c.caller.account,
		Weight:  c.weight(),
		Call:    c.call,
		Origin:  c.origin,
	}
	for attempt := 1; ; attempt++ {
		slot, problem := c.acquire(request)
		if problem != nil {
			return problem
		}
		err := c.attempt(slot)
		if err == nil {
			return nil
		}
		if errors.Is(err, upstream.ErrAnswerMismatch) {
			c.server.options.Logger.Log(event.AnswerForeign, event.Fields{"replica": slot.Replica, "call": c.call, "error": err})
		}
		if attempt == maxAttempts || !c.canRetry(err) {
			return err
		}
		request.Exclude = append(request.Exclude, slot.Replica)
	}
}

// weight returns the account's scheduling weight. Callers without an account share the
// default weight of 1.
func (c *appCall) weight() float64 {
	if c.caller.account == "" {
		return 1
	}
	return c.caller.plan.Weight
}

// canRetry reports whether the call may be tried at another replica. A request that may
// have been sent is retried only on a route that the operators declared retryable, only
// without an idempotency claim, and only within the retry budget. No call is retried
// after its caller has gone or has received a part of the response, or if its body is
// streamed.
func (c *appCall) canRetry(err error) bool {
	if c.callerCtx.Err() != nil || c.reply.hasStarted() || c.bodyRest != nil {
		return false
	}
	if errors.Is(err, upstream.ErrNotSent) {
		c.server.metrics.countRetry("not-sent")
		return true
	}
	if !c.target.route.Retryable || c.claim != nil || !c.server.retries.take() {
		return false
	}
	c.server.metrics.countRetry("failed")
	return true
}

// attempt sends the call to one replica and releases the slot.
func (c *appCall) attempt(slot dispatch.Slot) error {
	result := dispatch.Result{Outcome: structs.OutcomeNotRun}
	sent := time.Now()
	defer func() {
		result.Total = time.Since(sent)
		c.server.options.Dispatcher.Release(slot, result)
	}()
	if c.callerCtx.Err() != nil {
		return context.Cause(c.callerCtx)
	}
	previous := c.outcome
	c.outcome, result.Outcome = structs.OutcomeUnknown, structs.OutcomeUnknown
	err := c.send(slot, &result)
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		c.outcome, result.Outcome = previous, structs.OutcomeNotRun
	case err == nil:
		c.outcome, result.Outcome = structs.OutcomeAnswered, structs.OutcomeAnswered
	}
	return err
}

// send makes the upstream call and forwards the response.
func (c *appCall) send(slot dispatch.Slot, result *dispatch.Result) error {
	ctx, cancel := context.WithCancel(c.callerCtx)
	if c.claim != nil {
		cancel()
		ctx, cancel = context.WithTimeout(context.WithoutCancel(c.callerCtx), c.server.options.Limits.CarryTimeout)
	}
	defer cancel()
	ctx, span := c.server.options.Tracer.Start(ctx, "entry.upstream")
	defer span.End()
	body, length := c.bodyReader()
	sent := time.Now()
	response, err := c.server.options.Upstream.App(ctx, slot.Address, upstream.AppRequest{
		Method:        c.incoming.Method,
		Path:          c.target.path,
		RawQuery:      c.incoming.URL.RawQuery,
		Header:        c.incoming.Header,
		Body:          body,
		ContentLength: length,
		Call:          upstream.CallHeader{Call: c.call, IdempotencyKey: c.idempotencyKey},
	})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	result.FirstToken = time.Since(sent)
	if c.claim != nil && !isEventStream(response.Header) {
		return c.storeAndForward(response)
	}
	return c.forward(response, nil)
}

// isEventStream reports whether a response is a stream of server-sent events.
func isEventStream(header http.Header) bool {
	kind, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// storeAndForward reads the whole response of a claimed call, stores it and then
// forwards it. A response over the size limit is forwarded as it arrives and is not
// stored.
func (c *appCall) storeAndForward(response *upstream.AppResponse) error {
	limit := c.server.options.Limits.StoredAnswerLimit
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return err
	}
	if int64(len(body)) > limit {
		return c.forward(response, body)
	}
	c.closeClaim(structs.OutcomeAnswered, &program.StoredAnswer{Status: response.Status, Header: response.Header, Body: body})
	c.reply.writeWhole(response.Status, response.Header, body)
	return nil
}

// forward copies a response to the caller as it arrives, beginning with the part that
// has already been read.
func (c *appCall) forward(response *upstream.AppResponse, start []byte) error {
	c.server.metrics.streams.Add(1)
	defer c.server.metrics.streams.Add(-1)
	events := isEventStream(response.Header)
	flush := events || response.ContentLength < 0
	if err := c.reply.writeHead(response, c.incoming.Method == http.MethodHead); err != nil && c.claim == nil {
		return context.Canceled
	}
	captured := &captureBuffer{limit: c.server.options.Limits.StoredAnswerLimit, enabled: c.claim != nil}
	buffer := make([]byte, copyBufferSize)
	part, err := start, error(nil)
	for {
		captured.add(part)
		if len(part) > 0 && c.reply.writePart(part, flush) != nil && c.claim == nil {
			return context.Canceled
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return c.truncationError(events, err)
		}
		var n int
		n, err = response.Body.Read(buffer)
		part = buffer[:n]
	}
	c.closeForwarded(response, captured)
	c.reply.close()
	return nil
}

// truncationError returns the error for a response that was cut short. An event stream
// ends with an error event; for any other response the caller's connection is closed
// abnormally.
func (c *appCall) truncationError(events bool, err error) error {
	if events {
		return err
	}
	return errors.Join(errTruncated, err)
}

// closeForwarded closes the claim of a call whose response was forwarded as it arrived.
func (c *appCall) closeForwarded(response *upstream.AppResponse, captured *captureBuffer) {
	if c.claim == nil {
		return
	}
	c.outcome = structs.OutcomeAnswered
	answer := &program.StoredAnswer{Status: response.Status, Header: response.Header, Body: captured.body}
	if captured.overflow {
		answer = storedProblem(notStored(captured.limit))
	}
	c.closeClaim(structs.OutcomeAnswered, answer)
}

// captureBuffer collects a copy of a response up to a size limit.
type captureBuffer struct {
	limit    int64
	enabled  bool
	overflow bool
	body     []byte
}

// add appends a part, or discards everything once the limit is exceeded.
func (b *captureBuffer) add(part []byte) {
	if !b.enabled || b.overflow {
		return
	}
	if int64(len(b.body)+len(part)) > b.limit {
		b.overflow, b.body = true, nil
		return
	}
	b.body = append(b.body, part...)
}
