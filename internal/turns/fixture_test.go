package turns_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"cowslipgw/internal/event"
	"cowslipgw/internal/peers"
	"cowslipgw/internal/storelog"
	"cowslipgw/internal/turns"
)

// other is a turns.Others with one other home, which may be nil.
type other struct{ to *turns.Home }

func (c other) Release(_ context.Context, args turns.ReleaseArgs) (turns.ReleaseReply, turns.Presence) {
	if c.to != nil {
		if reply, isWriter := c.to.Release(args); isWriter {
			return reply, turns.Present
		}
	}
	return turns.ReleaseReply{}, turns.Silent
}

// incarnations numbers the homes of the tests.
var incarnations atomic.Int64

// newHome returns a home over log that reaches to, which may be nil.
func newHome(log storelog.Log, to *turns.Home) *turns.Home {
	self := peers.Host{ID: "h", Incarnation: incarnations.Add(1)}
	return turns.NewHome(self, log, other{to}, 8, event.Discard())
}

// down is a fault that makes every call of the store fail.
func down(string, storelog.Partition) (error, bool) { return storelog.ErrUnavailable, false }

// deadline bounds a call of a home in tests.
func deadline(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// begin begins a turn of program p of account a.
func begin(t *testing.T, h *turns.Home, id, parent string, budget int) turns.BeginReply {
	t.Helper()
	return h.Begin(deadline(t, time.Second), turns.BeginArgs{Account: "a", Program: "p", Turn: id, Parent: parent,
		Budget: budget, MaxTokens: 100, RetentionMS: 60_000})
}

// ended is a turn of program p of account a that was answered whole.
func ended(id, parent string, tokens int) turns.Turn {
	return turns.Turn{ID: id, Parent: parent, Account: "a", Program: "p", State: turns.Ended, Tokens: tokens,
		Input: []byte("in-" + id + ";"), Output: []byte("out-" + id + "\n"), Expiry: time.Now().Add(time.Minute).UnixMilli()}
}
