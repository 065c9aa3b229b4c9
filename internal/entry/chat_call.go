package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"cowslipgw/internal/dispatch"
	"cowslipgw/internal/event"
	"cowslipgw/internal/lists"
	"cowslipgw/internal/program"
	"cowslipgw/internal/structs"
	"cowslipgw/internal/upstream"
)

// maxAttempts bounds the number of replicas at which one call is tried.
const maxAttempts = 3

// chatCall is one chat completion in progress.
type chatCall struct {
	*session
	request        *chatRequest
	model          lists.Model
	maxTokens      int64
	reply          *reply
	idempotencyKey string

	beginResult program.BeginResult
	begunAt     time.Time
	firstToken  time.Duration
	// unansweredAttempts counts the attempts that may have consumed tokens without
	// yielding an answer.
	unansweredAttempts int
}

// execute runs the call to completion and responds to the caller.
func (c *chatCall) execute() {
	defer c.cleanupOnPanic()
	answer, replica, err := c.answer()
	if err == nil {
		c.complete(answer, replica)
		return
	}
	problem := c.failure(err)
	if refusedByEngine(err) {
		// The engine generated nothing, so the turn is not recorded in the program, and
		// a retry of a claimed call gets the same refusal.
		c.settle(program.SettleRequest{})
		c.closeClaim(structs.OutcomeAnswered, storedProblem(problem))
	} else {
		c.cleanup()
	}
	c.reply.fail(problem)
}

// answer begins the call and sends it to replicas until one answers.
func (c *chatCall) answer() (*upstream.Answer, structs.ReplicaID, error) {
	if problem := c.begin(); problem != nil {
		return nil, "", problem
	}
	body, err := c.request.encode(c.beginResult.History, c.maxTokens)
	if err != nil {
		return nil, "", invalidBody("the request cannot be encoded: %s", err)
	}
	request := c.slotRequest()
	for attempt := 1; ; attempt++ {
		slot, problem := c.acquire(request)
		if problem != nil {
			return nil, "", problem
		}
		answer, err := c.attempt(slot, body)
		if err == nil {
			return answer, slot.Replica, nil
		}
		if errors.Is(err, upstream.ErrAnswerMismatch) {
			c.server.options.Logger.Log(event.AnswerForeign, event.Fields{"replica": slot.Replica, "call": c.call, "error": err})
		}
		if attempt == maxAttempts || !c.canRetry(err) {
			return nil, "", err
		}
		if !errors.Is(err, upstream.ErrNotSent) {
			c.unansweredAttempts++
			if problem := c.begin(); problem != nil {
				return nil, "", problem
			}
		}
		request.Exclude = append(request.Exclude, slot.Replica)
	}
}

// canRetry reports whether the call may be tried at another replica. A call that was
// not sent, or that a replica rejected because it does not have the model, may be. Any
// other failed call may be only if it has no idempotency claim, neither the engine nor
// the owner refused it, and the retry budget allows it. No call is retried after its
// caller has gone or has received a part of the answer.
func (c *chatCall) canRetry(err error) bool {
	if c.callerCtx.Err() != nil || c.reply.hasStarted() {
		return false
	}
	if errors.Is(err, upstream.ErrNotSent) {
		c.server.metrics.countRetry("not-sent")
		return true
	}
	if modelNotLoaded(err) {
		c.server.metrics.countRetry("not-loaded")
		return true
	}
	var problem *structs.Problem
	if c.claim != nil || refusedByEngine(err) || errors.Is(err, upstream.ErrStaleFence) || errors.As(err, &problem) || !c.server.retries.take() {
		return false
	}
	c.server.metrics.countRetry("failed")
	return true
}

// begin begins the call at the program's owner. A call without a program needs no
// owner; its budget is checked locally.
func (c *chatCall) begin() *structs.Problem {
	if !c.program.named() {
		c.beginResult.PromptTokens = c.request.promptTokens()
		return c.beginUnnamed()
	}
	ctx, span := c.server.options.Tracer.Start(c.callerCtx, "entry.begin")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, c.server.options.Limits.TurnTimeout)
	defer cancel()
	result, err := c.server.options.Programs.Begin(ctx, program.BeginRequest{
		Key:       c.program.key,
		Call:      c.call,
		Origin:    c.origin,
		Depth:     c.program.depth,
		Messages:  c.request.messages,
		MaxTokens: c.maxTokens,
		Attempt:   c.unansweredAttempts,
		Budget:    c.caller.plan.Budget,
	})
	if err != nil {
		var problem *structs.Problem
		// Without a response from the owner, the call may have begun.
		c.begun = c.begun || !errors.As(err, &problem)
		if c.callerCtx.Err() != nil {
			return c.failure(context.Cause(c.callerCtx))
		}
		return c.correctRun(problemOf(err, "program-unavailable", "the owner of the program does not answer"))
	}
	if result.Problem != nil {
		return c.correctRun(result.Problem)
	}
	c.begun, c.begunAt, c.beginResult = true, time.Now(), result
	return nil
}

// beginUnnamed checks the budget of a call without a program.
func (c *chatCall) beginUnnamed() *structs.Problem {
	budget := c.caller.plan.Budget
	cost := int64(c.unansweredAttempts+1) * (c.beginResult.PromptTokens + c.maxTokens)
	if budget.Tokens > 0 && cost > budget.Tokens {
		return c.correctRun(newProblem(http.StatusPaymentRequired, "budget-exhausted",
			fmt.Sprintf("the request may cost more than the %d tokens that the plan allows a program", budget.Tokens)))
	}
	if c.begunAt.IsZero() {
		c.begunAt, c.beginResult.WallLeft = time.Now(), budget.Wall
	}
	return nil
}

// slotRequest returns the dispatch request for this call.
func (c *chatCall) slotRequest() dispatch.Request {
	messages := c.request.messages
	if c.beginResult.History != nil {
		messages = c.beginResult.History
	}
	prefix, prefixTokens := prefixOf(c.model.Name, messages)
	return dispatch.Request{
		Pool:         c.model.Pool,
		Model:        c.model.Name,
		Account:      c.caller.account,
		Weight:       c.caller.plan.Weight,
		Program:      c.beginResult.Number,
		Call:         c.call,
		Origin:       c.origin,
		PromptTokens: c.beginResult.PromptTokens,
		MaxTokens:    c.maxTokens,
		Prefix:       prefix,
		PrefixTokens: prefixTokens,
		Holders:      c.beginResult.Holders,
		Attained:     c.beginResult.Attained,
	}
}

// attempt sends the call to one replica and releases the slot.
func (c *chatCall) attempt(slot dispatch.Slot, body []byte) (*upstream.Answer, error) {
	result := dispatch.Result{Outcome: structs.OutcomeNotRun}
	sent := time.Now()
	defer func() {
		result.Total = time.Since(sent)
		c.server.options.Dispatcher.Release(slot, result)
	}()
	// The owner lets the program's next call run some time after this host was evicted
	// from the view. Within the dispatch window after Begin, that time cannot have
	// passed; after the window, the call must begin again before it is sent.
	if c.program.named() && time.Since(c.begunAt) > c.server.options.Limits.DispatchWindow {
		if problem := c.begin(); problem != nil {
			return nil, problem
		}
	}
	if c.callerCtx.Err() != nil {
		return nil, context.Cause(c.callerCtx)
	}
	previous := c.outcome
	c.outcome, result.Outcome = structs.OutcomeUnknown, structs.OutcomeUnknown
	answer, err := c.send(slot, body)
	result.FirstToken = c.firstToken
	switch {
	case errors.Is(err, upstream.ErrNotSent), errors.Is(err, upstream.ErrStaleFence), modelNotLoaded(err):
		c.outcome, result.Outcome = previous, structs.OutcomeNotRun
	case err == nil:
		c.outcome, result.Outcome = structs.OutcomeAnswered, structs.OutcomeAnswered
		result.Usage = answer.Usage
	case refusedByEngine(err):
		c.outcome, result.Outcome = previous, structs.OutcomeAnswered
	}
	return answer, err
}

// upstreamContext returns the context of the upstream call. A claimed call continues
// when its caller disconnects. Any call ends when the program's wall time is used up.
func (c *chatCall) upstreamContext() (context.Context, context.CancelFunc) {
	ctx, cancel := c.callerCtx, context.CancelFunc(func() {})
	if c.claim != nil {
		ctx, cancel = context.WithTimeout(context.WithoutCancel(c.callerCtx), c.server.options.Limits.CarryTimeout)
	}
	if c.beginResult.WallLeft <= 0 {
		ctx, stop := context.WithCancel(ctx)
		return ctx, func() { stop(); cancel() }
	}
	wallTimeProblem := withRun(newProblem(http.StatusPaymentRequired, "budget-exhausted", "the program's wall time ended during the call"), structs.RunUnknown)
	ctx, stop := context.WithDeadlineCause(ctx, c.begunAt.Add(c.beginResult.WallLeft), wallTimeProblem)
	return ctx, func() { stop(); cancel() }
}

// send makes the upstream call.
func (c *chatCall) send(slot dispatch.Slot, body []byte) (*upstream.Answer, error) {
	ctx, cancel := c.upstreamContext()
	defer cancel()
	ctx, span := c.server.options.Tracer.Start(ctx, "entry.upstream")
	defer span.End()
	header := upstream.CallHeader{
		Program:        c.beginResult.Number,
		Fence:          c.beginResult.Fence,
		Call:           c.call,
		IdempotencyKey: c.idempotencyKey,
	}
	if !c.request.stream {
		return c.server.options.Upstream.Chat(ctx, slot.Address, header, body)
	}
	stream, err := c.server.options.Upstream.ChatStream(ctx, slot.Address, header, body)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	return c.forwardEvents(stream)
}

// forwardEvents forwards the events of a stream until the answer is complete.
func (c *chatCall) forwardEvents(stream *upstream.ChatStream) (*upstream.Answer, error) {
	c.server.metrics.streams.Add(1)
	defer c.server.metrics.streams.Add(-1)
	for {
		next, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return stream.Answer()
		}
		if err != nil {
			return nil, err
		}
		if c.firstToken == 0 {
			c.firstToken = max(time.Since(c.started), 1)
			c.server.metrics.observeFirstToken(c.firstToken)
		}
		if next.UsageOnly && !c.request.includeUsage {
			continue
		}
		if err := c.reply.writeEvent(next.Data); err != nil && c.claim == nil {
			return nil, context.Canceled
		}
	}
}

// complete commits the turn and stores the answer, and only then ends the reply: a
// caller that has received the complete answer can rely on both.
func (c *chatCall) complete(answer *upstream.Answer, replica structs.ReplicaID) {
	problem := c.settle(program.SettleRequest{Answer: answer.Message, Usage: answer.Usage, Replica: replica})
	if problem != nil {
		c.closeClaim(structs.OutcomeUnknown, nil)
		c.reply.fail(problem)
		return
	}
	header := map[string][]string{"Content-Type": {"application/json"}}
	c.closeClaim(structs.OutcomeAnswered, &program.StoredAnswer{Status: http.StatusOK, Header: header, Body: answer.Body})
	if c.request.stream {
		c.reply.finish()
		return
	}
	c.reply.writeWhole(http.StatusOK, header, answer.Body)
}
