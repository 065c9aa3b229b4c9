package gateway

import (
	"context"
	"math"
	"net/http"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/replica"
	"cowslipgw/internal/route"
	"cowslipgw/internal/turns"
)

const (
	// settleTimeout is how long a settlement is retried after the answer.
	settleTimeout = 60 * time.Second
	// settleRetryDelay is the delay between two attempts of a settlement.
	settleRetryDelay = 200 * time.Millisecond
	// defaultRetention is how long spending is recorded on routes without a retention time.
	defaultRetention = time.Minute
	// prefillTokensPerMS is the approximate number of prompt tokens that an engine reads in
	// a millisecond, and eventMS the usual duration of one event in milliseconds. They
	// convert a cached prefix into saved time, measured in events.
	prefillTokensPerMS = 80
	eventMS            = 28.0
	// minPreviousReplicaGain is the minimum advantage credited to the replica of the
	// previous turn.
	minPreviousReplicaGain = 0.3
)

// noSuchTurn is the reason of a refusal because the previous turn is not one of the account's.
const noSuchTurn = "no such turn to continue"

// turn is a turn in progress. The methods of a nil turn store nothing.
type turn struct {
	x              *exchange
	record         turns.Turn
	tokensPerEvent int
}

// isTurn reports whether the request is a turn of a program: its route stores turns, or its
// tokens count against a budget.
func (x *exchange) isTurn() bool {
	return x.route.StoresTurns || (x.route.Kind == route.Streaming && x.call.Budget > 0)
}

// retention returns how long the record of a turn is retained. Without stored turns, records
// only keep a program's spending, for which the configuration may give no time.
func (x *exchange) retention() time.Duration {
	if x.route.TurnRetention > 0 {
		return x.route.TurnRetention
	}
	return defaultRetention
}

// serveTurn serves a request that is a turn of a program.
func (x *exchange) serveTurn(ctx context.Context) {
	program := x.call.Program
	if program == "" {
		program = x.call.ID
	}
	args := turns.BeginArgs{Account: x.accountName(), Program: program, Session: x.call.Session, Turn: x.call.ID,
		Budget: x.call.Budget, MaxTokens: x.call.MaxTokens, RetentionMS: x.retention().Milliseconds()}
	if x.route.StoresTurns {
		args.Parent = x.call.PreviousTurn
	}
	t := &turn{x: x, tokensPerEvent: 1, record: turns.Turn{ID: args.Turn, Parent: args.Parent, Account: args.Account,
		Program: program, Session: x.call.Session}}
	if x.route.StoresTurns {
		t.record.Input = x.body
	}
	asked := time.Now()
	begun, flattened := x.g.turns.Begin(ctx, args)
	x.beginTime = time.Since(asked)
	if f := x.g.refusalFor(begun.Outcome); f != nil {
		if begun.Uncertain {
			t.close(streamResult{})
		}
		x.refuse(*f)
		return
	}
	if flattened {
		t.record.Parent = ""
		t.record.Input = append(append([]byte(nil), begun.Chain...), x.body...)
	}
	if x.service.Engine != nil {
		t.tokensPerEvent = max(x.service.Engine.TokensPerEvent, 1)
	}
	q := replica.Query{Service: x.service.Name, Class: x.route.Name, Prefer: begun.Replica, Size: x.call.ExpectedTokens,
		Gain: minPreviousReplicaGain + float64(x.call.PromptTokens-x.call.SharedTokens)/prefillTokensPerMS/eventMS}
	body := [][]byte{begun.Chain, x.body}
	a, err := x.startStream(ctx, body, q)
	if err != nil {
		t.close(streamResult{})
		x.fail(ctx, err)
		return
	}
	t.record.Replica = x.g.replicas.Preferred(begun.Replica, x.replica)
	if a.answer.Status == http.StatusOK && a.info.Signed {
		x.stream(ctx, a, body, q, t)
		return
	}
	content, err := x.readAnswer(a)
	t.close(streamResult{})
	if err != nil {
		a.end(x.failureResult(ctx, a.lease.Record()), 1)
		x.fail(ctx, err)
		return
	}
	a.end(replica.Broken, 1)
	x.writeAnswer(a.answer, content)
}

// refusalFor returns the refusal for the outcome of Begin, or nil if the turn may run.
func (g *Gateway) refusalFor(o turns.Outcome) *refusal {
	switch o {
	case turns.Granted:
		return nil
	case turns.Exhausted:
		return &refusal{status: http.StatusPaymentRequired, reason: "token budget of the program is spent"}
	case turns.UnknownParent:
		return &refusal{status: http.StatusNotFound, reason: noSuchTurn, detail: "turn is unknown"}
	case turns.ForeignParent:
		// The caller must not learn that the turn exists.
		return &refusal{status: http.StatusNotFound, reason: noSuchTurn, detail: "turn belongs to another client account"}
	default:
		return g.refuseUnavailable("state of the program is not available", retrySoon)
	}
}

// maxEvents returns the number of events for which the turn has reserved tokens. Only turns
// with a budget are limited.
func (t *turn) maxEvents() int {
	if t == nil || t.x.call.Budget == 0 || t.x.call.MaxTokens == 0 {
		return math.MaxInt
	}
	return (t.x.call.MaxTokens + t.tokensPerEvent - 1) / t.tokensPerEvent
}

// movedTo records the replica at which the turn is resumed.
func (t *turn) movedTo(replica string) {
	if t != nil {
		t.record.Replica = replica
	}
}

// complete stores a turn that was answered completely. It reports whether the turn is
// stored before ctx ends: an answer must not look complete while its turn could still be
// lost. A turn that no other can continue is settled without waiting, since its reservation
// counts against the budget until then.
func (t *turn) complete(ctx context.Context, s streamResult) bool {
	if t == nil {
		return true
	}
	if !t.x.route.StoresTurns {
		t.close(s)
		return true
	}
	t.record.State = turns.Ended
	t.record.Output = s.output
	t.record.Tokens = s.events * t.tokensPerEvent
	ended := time.Now()
	defer func() { t.x.storeTime = time.Since(ended) }()
	select {
	case <-t.settle():
		return true
	case <-ctx.Done():
		t.x.g.events.Log(event.TurnStoreTimeout, event.Fields{"request": t.record.ID})
		return false
	}
}

// close settles a turn that cannot be continued: its answer is incomplete, or its route
// stores no turns. It does not wait.
func (t *turn) close(s streamResult) {
	if t == nil {
		return
	}
	t.record.State = turns.Closed
	t.record.Input = nil
	t.record.Tokens = s.events * t.tokensPerEvent
	t.settle()
}

// settle retries the settlement until the turn is stored. The returned channel is closed
// then.
func (t *turn) settle() <-chan struct{} {
	g := t.x.g
	record := t.record
	record.Expiry = time.Now().Add(t.x.retention()).UnixMilli()
	stored := make(chan struct{})
	g.settling.Add(1)
	go func() {
		defer g.settling.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		for !g.turns.End(ctx, record) {
			if ctx.Err() != nil {
				g.events.Log(event.TurnStoreFailed, event.Fields{"request": record.ID, "program": record.Program})
				return
			}
			time.Sleep(settleRetryDelay)
		}
		close(stored)
	}()
	return stored
}
