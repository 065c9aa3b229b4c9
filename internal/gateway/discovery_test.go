package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/event"
	"cowslipgw/internal/replica"
	"cowslipgw/internal/storelog"
)

// replyFunc returns the reply of a ReplicaSource at the given time since the start of the
// test.
type replyFunc func(since time.Duration) (ReplicaChanges, error)

type scriptedSource struct {
	start time.Time
	reply replyFunc
}

func (s scriptedSource) Replicas(context.Context) (ReplicaChanges, error) {
	return s.reply(time.Since(s.start))
}

// TestLapsedRecordsOverTwoOutages guards against live replicas that are removed because
// their records expired during a store outage and a second outage begins before they can be
// written again.
func TestLapsedRecordsOverTwoOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		record := replica.Record{ID: "r", Service: "s", Addr: "10.0.0.1:80", Slots: 1}
		first, lapsed := true, true
		source := scriptedSource{start: time.Now(), reply: func(since time.Duration) (ReplicaChanges, error) {
			switch {
			case first:
				first = false
				return ReplicaChanges{Put: []replica.Record{record}, Full: true}, nil
			case since > 2*time.Second && since < 5*time.Second, since > 6*time.Second && since < 12*time.Second:
				return ReplicaChanges{}, storelog.ErrUnavailable
			case since >= 5*time.Second && lapsed:
				lapsed = false
				return ReplicaChanges{Removed: []string{"r"}}, nil
			}
			return ReplicaChanges{}, nil
		}}
		set := replica.NewSet("z", event.Discard())
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go NewDiscovery(source, set, func() int { return 1 }).Run(ctx)
		present := func() bool { return set.Choose(replica.Query{Service: "s"}) != nil }
		time.Sleep(11 * time.Second)
		is.True(present())
		time.Sleep(5 * time.Second) // the store has recovered, and the record is still missing
		is.True(!present())
	})
}
