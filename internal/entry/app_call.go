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

// copyBuffer is how much of an app's answer is passed on at once, in bytes.
const copyBuffer = 32 << 10

// errBroken ends an answer whose caller got a part of it: its connection is broken,
// so that the caller cannot take the part for the whole.
var errBroken = errors.New("the answer was broken off")

// appCall is one request to an app service on its way.
type appCall struct {
	*session
	incoming *http.Request
	target   appTarget
	reply    *reply
	idemKey  string
	// body is the whole body, or its start when rest is set.
	body []byte
	rest io.Reader
}

// execute runs the call to its end and answers the caller.
func (c *appCall) execute() {
	defer c.undoPanicked()
	err := c.answer()
	if err == nil {
		return
	}
	problem := c.failure(err)
	c.undo()
	if errors.Is(err, errBroken) {
		c.reply.abort()
		return
	}
	c.reply.fail(problem)
}

// answer sends the call to replicas until one answers.
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
		if errors.Is(err, upstream.ErrForeignAnswer) {
			c.server.options.Logger.Log(event.AnswerForeign, event.Fields{"replica": slot.Replica, "call": c.call, "error": err})
		}
		if attempt == maxAttempts || !c.mayRetry(err) {
			return err
		}
		request.Exclude = append(request.Exclude, slot.Replica)
	}
}

// weight returns the account's share; callers without an account share the standard
// one.
func (c *appCall) weight() float64 {
	if c.caller.account == "" {
		return 1
	}
	return c.caller.plan.Weight
}

// mayRetry says whether another replica may be tried. What was sent is sent again
// only on a route that the operators declared repeatable, without a claim.
func (c *appCall) mayRetry(err error) bool {
	if c.waiting.Err() != nil || c.reply.hasBegun() || c.rest != nil {
		return false
	}
	if errors.Is(err, upstream.ErrNotSent) {
		c.server.metrics.retried("not-sent")
		return true
	}
	if !c.target.route.Repeat || c.claim != nil || !c.server.retries.take() {
		return false
	}
	c.server.metrics.retried("failed")
	return true
}

// attempt sends the call to one replica and gives the slot back.
func (c *appCall) attempt(slot dispatch.Slot) error {
	result := dispatch.Result{Outcome: structs.OutcomeNotRun}
	sent := time.Now()
	defer func() {
		result.Total = time.Since(sent)
		c.server.options.Dispatcher.Release(slot, result)
	}()
	if c.waiting.Err() != nil {
		return context.Cause(c.waiting)
	}
	before := c.outcome
	c.outcome, result.Outcome = structs.OutcomeUnknown, structs.OutcomeUnknown
	err := c.send(slot, &result)
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		c.outcome, result.Outcome = before, structs.OutcomeNotRun
	case err == nil:
		c.outcome, result.Outcome = structs.OutcomeAnswered, structs.OutcomeAnswered
	}
	return err
}

// send makes the upstream call and passes the answer on.
func (c *appCall) send(slot dispatch.Slot, result *dispatch.Result) error {
	ctx, cancel := context.WithCancel(c.waiting)
	if c.claim != nil {
		cancel()
		ctx, cancel = context.WithTimeout(context.WithoutCancel(c.waiting), c.server.options.Limits.Carry)
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
		Call:          upstream.CallHeader{Call: c.call, IdempotencyKey: c.idemKey},
	})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	result.FirstToken = time.Since(sent)
	if c.claim != nil && !eventStream(response.Header) {
		return c.hold(response)
	}
	return c.pass(response, nil)
}

// eventStream says whether an answer is a stream of server-sent events.
func eventStream(header http.Header) bool {
	kind, _, err := mime.ParseMediaType(header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// hold reads the whole answer of a claimed call, stores it and then passes it on.
// An answer over the limit is passed on as it arrives and is not stored.
func (c *appCall) hold(response *upstream.AppResponse) error {
	limit := c.server.options.Limits.Stored
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return err
	}
	if int64(len(body)) > limit {
		return c.pass(response, body)
	}
	c.closeClaim(structs.OutcomeAnswered, &program.StoredAnswer{Status: response.Status, Header: response.Header, Body: body})
	c.reply.whole(response.Status, response.Header, body)
	return nil
}

// pass passes an answer on as it arrives, after a part that was read already.
func (c *appCall) pass(response *upstream.AppResponse, start []byte) error {
	c.server.metrics.streams.Add(1)
	defer c.server.metrics.streams.Add(-1)
	events := eventStream(response.Header)
	flush := events || response.ContentLength < 0
	if err := c.reply.head(response, c.incoming.Method == http.MethodHead); err != nil && c.claim == nil {
		return context.Canceled
	}
	kept := &keptAnswer{limit: c.server.options.Limits.Stored, keep: c.claim != nil}
	buffer := make([]byte, copyBuffer)
	part, err := start, error(nil)
	for {
		kept.add(part)
		if len(part) > 0 && c.reply.part(part, flush) != nil && c.claim == nil {
			return context.Canceled
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return c.broken(events, err)
		}
		var n int
		n, err = response.Body.Read(buffer)
		part = buffer[:n]
	}
	c.closePassed(response, kept)
	c.reply.close()
	return nil
}

// broken returns the error of an answer that broke off. A stream of events ends with
// an error event; the connection of another answer is broken.
func (c *appCall) broken(events bool, err error) error {
	if events {
		return err
	}
	return errors.Join(errBroken, err)
}

// closePassed closes the claim of an answer that was passed on as it arrived.
func (c *appCall) closePassed(response *upstream.AppResponse, kept *keptAnswer) {
	if c.claim == nil {
		return
	}
	c.outcome = structs.OutcomeAnswered
	answer := &program.StoredAnswer{Status: response.Status, Header: response.Header, Body: kept.body}
	if kept.overflow {
		answer = storedProblem(notStored(kept.limit))
	}
	c.closeClaim(structs.OutcomeAnswered, answer)
}

// keptAnswer collects an answer up to a limit.
type keptAnswer struct {
	limit    int64
	keep     bool
	overflow bool
	body     []byte
}

// add keeps a part, or drops everything once the limit is exceeded.
func (k *keptAnswer) add(part []byte) {
	if !k.keep || k.overflow {
		return
	}
	if int64(len(k.body)+len(part)) > k.limit {
		k.overflow, k.body = true, nil
		return
	}
	k.body = append(k.body, part...)
}
