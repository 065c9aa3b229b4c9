package turns_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/storelog"
	"cowslipgw/internal/turns"
)

// settleAt ends a closed turn of program p, in a session, that ran at a replica.
func settleAt(t *testing.T, o *turns.Owner, id, session, replica string) {
	t.Helper()
	turn := ended(id, "", 10)
	turn.State, turn.Input, turn.Output = turns.Closed, nil, nil
	turn.Session, turn.Replica = session, replica
	if !o.End(deadline(t, time.Second), turn).Kept {
		t.Fatalf("turn %s was not stored", id)
	}
}

// beginIn starts a turn of program p in a session and returns the replica that may hold its
// history.
func beginIn(t *testing.T, o *turns.Owner, id, session string) string {
	t.Helper()
	reply := o.Begin(deadline(t, time.Second), turns.BeginArgs{Account: "a", Program: "p", Session: session, Turn: id,
		Budget: 10_000, MaxTokens: 100, RetentionMS: 60_000})
	if reply.Outcome != turns.Granted {
		t.Fatalf("turn %s: outcome %d", id, reply.Outcome)
	}
	return reply.Replica
}

// TestReplicaOfSession guards against reading the history of a program again because its next
// turn goes to a replica that does not have it, with sub-agents that run at other replicas.
func TestReplicaOfSession(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	o := newOwner(log, nil)
	is.Equal(beginIn(t, o, "t1", "main"), "")
	settleAt(t, o, "t1", "main", "r1")
	is.Equal(beginIn(t, o, "s1", "sub"), "r1") // a sub-agent begins with its parent's prompt
	settleAt(t, o, "s1", "sub", "r2")
	is.Equal(beginIn(t, o, "s2", "sub"), "r2")
	is.Equal(beginIn(t, o, "t2", "main"), "r1")
	settleAt(t, o, "t2", "main", "r3")
	is.Equal(beginIn(t, o, "t3", "main"), "r3")
	// An owner that has only the records knows the program's last replica.
	is.Equal(beginIn(t, newOwner(log, nil), "t4", "main"), "r3")
}
