package gateway

import (
	"context"
	"errors"
	"math"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"cowslipgw/internal/event"
	"cowslipgw/internal/replica"
	"cowslipgw/internal/route"
	"cowslipgw/internal/turns"
)

const (
	// settleTimeout is how long a settlement is retried after the answer.
	settleTimeout = 60 * time.Second
	// storeGrace is how long after its deadline a stream whose events have all arrived may wait until
	// its turn is stored.
	storeGrace = 200 * time.Millisecond
	// settleRetryDelay is the delay between two attempts of a settlement.
	settleRetryDelay = 200 * time.Millisecond
	// maxPiecesInFlight is the number of pieces of a long turn that are stored at the same time.
	maxPiecesInFlight = 3
	// defaultRetention is how long spending is recorded on routes without a retention time.
	defaultRetention = time.Minute
	// previousReplicaGain is the advantage credited to the replica of the previous turn, beside the
	// prompt tokens that need not be read there.
	previousReplicaGain = 0.3
)

// noSuchTurn is the reason of a refusal because the previous turn is not one of the account's.
const noSuchTurn = "no such turn to continue"

// turn is a turn in progress. The methods of a nil turn store nothing.
type turn struct {
	x      *exchange
	record turns.Turn
	// history is stored before the input if the previous turn is not one of the program's own.
	history        []byte
	tokensPerEvent int
}

// isTurn reports whether the request is a turn of a program: its route stores turns, or its
// tokens count against a budget.
func (x *exchange) isTurn() bool {
	return x.route.StoresTurns || (x.route.Kind == route.Streaming && (x.call.Budget > 0 || x.isTimedTurn() && x.call.Program != ""))
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
	id := turns.Key(x.call.ID)
	program := turns.Key(x.call.Program)
	if program == "" {
		program = id
	}
	args := turns.BeginArgs{Account: x.accountName(), Program: program, Session: turns.Key(x.call.Session), Turn: id,
		Budget: x.call.Budget, MaxTokens: x.call.MaxTokens, RetentionMS: x.retention().Milliseconds()}
	if x.route.StoresTurns {
		args.Parent = turns.Key(x.call.PreviousTurn)
	}
	t := &turn{x: x, tokensPerEvent: 1, record: turns.Turn{ID: args.Turn, Parent: args.Parent, Account: args.Account,
		Program: program, Session: args.Session}}
	if x.route.StoresTurns {
		t.record.Input = x.body
	}
	asked := time.Now()
	begun, flattened := x.g.turns.Begin(ctx, args, func(bytes int) bool { return x.memory.grow(int64(bytes)) })
	x.beginTime = time.Since(asked)
	t.record.Granter, t.record.Reserved = begun.Granter, args.MaxTokens
	if f := x.g.refusalFor(begun); f != nil {
		if begun.Uncertain {
			t.close(streamResult{})
		}
		x.refuse(*f)
		return
	}
	if f := x.admitTurn(ctx, begun.First); f != nil {
		t.close(streamResult{})
		x.refuse(*f)
		return
	}
	if flattened {
		t.record.Parent, t.history = "", begun.Chain
	}
	if x.service.Engine != nil {
		t.tokensPerEvent = max(x.service.Engine.TokensPerEvent, 1)
	}
	q := x.query()
	q.Prefer, q.Gain = begun.Replica, previousReplicaGain
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

// admitTurn decides whether a turn that its program's owner has granted may run. First is set for
// the program's first turn.
func (x *exchange) admitTurn(ctx context.Context, first bool) *refusal {
	if x.ratedAfterBegin() {
		if f := x.admitRate(ctx, first); f != nil {
			return f
		}
	}
	if !first {
		return nil
	}
	return x.admitProgram(ctx)
}

// refusalFor returns the refusal for the result of Begin, or nil if the turn may run.
func (g *Gateway) refusalFor(begun turns.BeginReply) *refusal {
	switch begun.Outcome {
	case turns.Granted:
		return nil
	case turns.Exhausted:
		if begun.RetryMS > 0 {
			retry := time.Duration(begun.RetryMS) * time.Millisecond
			return &refusal{status: http.StatusServiceUnavailable, reason: "spending of the program is not known", retryAfter: retry}
		}
		return &refusal{status: http.StatusPaymentRequired, reason: "token budget of the program is spent"}
	case turns.UnknownParent:
		return &refusal{status: http.StatusNotFound, reason: noSuchTurn, detail: "turn is unknown"}
	case turns.ForeignParent:
		// The caller must not learn that the turn exists.
		return &refusal{status: http.StatusNotFound, reason: noSuchTurn, detail: "turn belongs to another client account"}
	case turns.NoRoom:
		return refuseNoMemory()
	case turns.HistoryTooLong:
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "history of the program is too long"}
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

// complete stores a turn that was answered completely. It reports whether the turn is stored
// before the request is cancelled, and until storeGrace after its deadline: an answer must not look
// complete while its turn could still be lost. A turn that no other can continue is settled without
// waiting, since its reservation counts against the budget until then.
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
	storeCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), t.x.deadline.Add(storeGrace))
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		if !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			cancel()
		}
	})
	defer stop()
	if <-t.settle(storeCtx) {
		return true
	}
	t.x.g.events.Log(event.TurnStoreTimeout, event.Fields{"request": t.record.ID})
	// The turn cannot be continued, and only its tokens must be stored.
	t.close(s)
	return false
}

// close settles a turn that cannot be continued: its answer is incomplete, or its route
// stores no turns. It does not wait.
func (t *turn) close(s streamResult) {
	if t == nil {
		return
	}
	t.record.State = turns.Closed
	t.record.Input, t.record.Output, t.history = nil, nil, nil
	t.record.Tokens = s.events * t.tokensPerEvent
	t.settle(context.Background())
}

// settle retries the settlement until the turn is stored, in pieces if it is long, or ctx ends. The
// returned channel receives whether the turn is stored.
func (t *turn) settle(ctx context.Context) <-chan bool {
	g := t.x.g
	record := t.record
	record.Expiry = time.Now().Add(t.x.retention()).UnixMilli()
	history := t.history
	stored := make(chan bool, 1)
	operation := g.progress.begin(settlement, record.ID)
	go func() {
		defer operation.end()
		ctx, cancel := context.WithTimeout(ctx, settleTimeout)
		defer cancel()
		err := g.settlePieces(ctx, record, history)
		if err != nil {
			g.events.Log(event.TurnStoreFailed, event.Fields{"request": record.ID, "program": record.Program, "error": err.Error()})
		}
		stored <- err == nil
	}()
	return stored
}

// errNotSettled is returned if a turn could not be stored in time, or is stored at no time.
var errNotSettled = errors.New("turn is not stored")

// settlePieces stores a turn. Its last piece follows when the store has all others.
func (g *Gateway) settlePieces(ctx context.Context, record turns.Turn, history []byte) error {
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxPiecesInFlight)
	for piece := range turns.Pieces(record, history, g.turns.PieceBytes()) {
		if piece.ID != record.ID {
			group.Go(func() error { return g.settlePiece(groupCtx, piece) })
			continue
		}
		if err := group.Wait(); err != nil {
			return err
		}
		return g.settlePiece(ctx, piece)
	}
	return group.Wait()
}

// settlePiece retries the settlement of one piece of a turn until it is stored.
func (g *Gateway) settlePiece(ctx context.Context, piece turns.Turn) error {
	for {
		reply := g.turns.End(ctx, piece)
		switch {
		case reply.Kept:
			return nil
		case reply.Rejected:
			return errNotSettled
		}
		select {
		case <-time.After(settleRetryDelay):
		case <-ctx.Done():
			return errNotSettled
		}
	}
}
