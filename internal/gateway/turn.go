package gateway

import (
	"context"
	"net/http"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/replica"
	"cowslipgw/internal/turns"
)

const (
	// settleTime is how long a settlement is repeated after the answer.
	settleTime = 60 * time.Second
	// settlePause is the pause between two tries of a settlement.
	settlePause = 200 * time.Millisecond
	// prefillRate is about how many prompt tokens an engine reads in a millisecond, and
	// usualEvent the usual time of one event; both turn a cached prefix into time saved.
	prefillRate = 80
	usualEvent  = 28.0
	// minGain is what the replica of the turn before is worth at least.
	minGain = 0.3
)

// turn is a turn under way. A nil turn keeps nothing.
type turn struct {
	x        *exchange
	record   turns.Turn
	perEvent int
}

// serveTurn serves a request that continues a program.
func (x *exchange) serveTurn(ctx context.Context) {
	program := x.call.Program
	if program == "" {
		program = x.call.ID
	}
	args := turns.BeginArgs{Account: x.accountName(), Program: program, Turn: x.call.ID, Parent: x.call.Previous,
		Budget: x.call.Budget, MaxTokens: x.call.MaxTokens, RetentionMS: x.route.TurnRetention.Milliseconds()}
	t := &turn{x: x, perEvent: 1, record: turns.Turn{ID: args.Turn, Parent: args.Parent, Account: args.Account,
		Program: program, Input: x.body}}
	begun, flattened := x.g.turns.Begin(ctx, args)
	if f := x.g.refusalOf(begun.Outcome); f != nil {
		if begun.Uncertain {
			t.broken(streamed{})
		}
		x.refuse(*f)
		return
	}
	if flattened {
		t.record.Parent = ""
		t.record.Input = append(append([]byte(nil), begun.Chain...), x.body...)
	}
	if x.service.Engine != nil {
		t.perEvent = max(x.service.Engine.TokensPerEvent, 1)
	}
	q := replica.Query{Service: x.service.Name, Class: x.route.Name, Prefer: begun.Replica,
		Gain: minGain + float64(x.call.PromptTokens)/prefillRate/usualEvent}
	a, err := x.dispatch(ctx, [][]byte{begun.Chain, x.body}, q)
	if err != nil {
		t.broken(streamed{})
		x.fail(ctx, err)
		return
	}
	t.record.Replica = x.replica
	if a.answer.Status == http.StatusOK && a.info.Signed {
		x.stream(ctx, a, t)
		return
	}
	content, err := x.readWhole(a)
	t.broken(streamed{})
	if err != nil {
		a.end(x.blame(ctx), 1)
		x.fail(ctx, err)
		return
	}
	a.end(replica.Broken, 1)
	x.pass(a.answer, content)
}

// refusalOf returns the answer to a turn that may not begin, or nil.
func (g *Gateway) refusalOf(o turns.Outcome) *refusal {
	switch o {
	case turns.Granted:
		return nil
	case turns.Exhausted:
		return &refusal{status: http.StatusPaymentRequired, reason: "token budget of the program is spent"}
	case turns.UnknownParent, turns.ForeignParent:
		return &refusal{status: http.StatusNotFound, reason: "no such turn to continue"}
	default:
		return g.unavailable("state of the program is not available", retrySoon)
	}
}

// whole keeps a turn that was answered whole. It reports whether the turn is kept
// before ctx ends: an answer must not look whole while the turn could still be lost.
func (t *turn) whole(ctx context.Context, s streamed) bool {
	if t == nil {
		return true
	}
	t.record.State = turns.Ended
	t.record.Output = s.output
	t.record.Tokens = s.events * t.perEvent
	select {
	case <-t.settle():
		return true
	case <-ctx.Done():
		t.x.g.events.Log(event.TurnEndLate, event.Fields{"request": t.record.ID})
		return false
	}
}

// broken settles a turn that was not answered whole. It does not wait.
func (t *turn) broken(s streamed) {
	if t == nil {
		return
	}
	t.record.State = turns.Failed
	t.record.Input = nil
	t.record.Tokens = s.events * t.perEvent
	t.settle()
}

// settle repeats the settlement until the turn is kept. The channel is closed then.
func (t *turn) settle() <-chan struct{} {
	g := t.x.g
	record := t.record
	record.Expiry = time.Now().Add(t.x.route.TurnRetention).UnixMilli()
	kept := make(chan struct{})
	g.settling.Add(1)
	go func() {
		defer g.settling.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), settleTime)
		defer cancel()
		for !g.turns.End(ctx, record) {
			if ctx.Err() != nil {
				g.events.Log(event.TurnEndFailed, event.Fields{"request": record.ID, "program": record.Program})
				return
			}
			time.Sleep(settlePause)
		}
		close(kept)
	}()
	return kept
}
