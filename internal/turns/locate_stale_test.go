package turns_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/storelog"
	"cowslipgw/internal/turns"
)

// lateLog delivers the answers to listings of a partition late.
type lateLog struct {
	*storelog.Memory
	delay time.Duration
}

func (l lateLog) Newest(ctx context.Context, p storelog.Partition, after string) (storelog.Page, error) {
	page, err := l.Memory.Newest(ctx, p, after)
	time.Sleep(l.delay)
	return page, err
}

// TestLoadInProgressIsNotFresh guards against a turn that is denied because a partition counts as
// read although the read began before the turn was stored.
func TestLoadInProgressIsNotFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := storelog.NewMemory()
		restarted := newOwner(lateLog{log, 100 * time.Millisecond}, nil)
		home := turns.PartitionOf("a", "p")
		isHome := func(partition int) bool { return partition == home }
		go restarted.Preload(t.Context(), isHome)
		time.Sleep(50 * time.Millisecond)
		is.True(newOwner(log, nil).End(deadline(t, time.Second), ended("t1", "", 10)).Kept)
		reply := restarted.Locate(deadline(t, time.Second), turns.LocateArgs{Account: "a", Turn: "t1"}, isHome)
		is.Equal(reply.Outcome, turns.Located)
	})
}
