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

// singlePeer is a turns.Peers with at most one other owner.
type singlePeer struct{ peer *turns.Owner }

func (c singlePeer) Release(_ context.Context, args turns.ReleaseArgs) (turns.ReleaseReply, turns.Presence) {
	if c.peer != nil {
		if reply, isWriter := c.peer.Release(args); isWriter {
			return reply, turns.Present
		}
	}
	return turns.ReleaseReply{}, turns.Unreachable
}

// incarnations numbers the owners that the tests create.
var incarnations atomic.Int64

// newOwner returns an owner over log whose only peer is to, which may be nil.
func newOwner(log storelog.Log, peer *turns.Owner) *turns.Owner {
	self := peers.Host{ID: "h", Incarnation: incarnations.Add(1)}
	return turns.NewOwner(self, log, singlePeer{peer}, 8, event.Discard())
}

// down is a fault that makes every store call fail.
func down(string, storelog.Partition) (error, bool) { return storelog.ErrUnavailable, false }

// deadline returns a context for one call in a test.
func deadline(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// begin starts a turn of program p of account a with at most 100 tokens.
func begin(t *testing.T, o *turns.Owner, id, parent string, budget int) turns.BeginReply {
	t.Helper()
	return o.Begin(deadline(t, time.Second), turns.BeginArgs{Account: "a", Program: "p", Turn: id, Parent: parent,
		Budget: budget, MaxTokens: 100, RetentionMS: 60_000})
}

// ended returns a completely answered turn of program p of account a.
func ended(id, parent string, tokens int) turns.Turn {
	return turns.Turn{ID: id, Parent: parent, Account: "a", Program: "p", State: turns.Ended, Tokens: tokens,
		Input: []byte("in-" + id + ";"), Output: []byte("out-" + id + "\n"), Expiry: time.Now().Add(time.Minute).UnixMilli()}
}
