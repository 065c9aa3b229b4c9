package turns_test

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/storelog"
	"cowslipgw/internal/turns"
)

// hedge is the time after which an append without an answer is sent again, and a margin.
const hedge = 100 * time.Millisecond

// TestLostAnswerOfAppend guards against a turn that is refused or counted twice when
// the store's answer is lost after the append took effect.
func TestLostAnswerOfAppend(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	h := newHome(log, nil)
	is.Equal(begin(t, h, "t0", "", 300).Outcome, turns.Granted)
	lost := false
	log.SetFault(func(call string, _ storelog.Partition) (error, bool) {
		if call == "append" && !lost {
			lost = true
			return storelog.ErrUnknown, true
		}
		return nil, false
	})
	is.Equal(begin(t, h, "t1", "", 300).Outcome, turns.Granted)
	is.Equal(begin(t, h, "t2", "", 300).Outcome, turns.Granted)
	is.Equal(begin(t, h, "t3", "", 300).Outcome, turns.Exhausted)
}

// lossyLog executes every append and loses the first answer of each two. Late says that
// the append whose answer is lost is executed when the caller has given up.
type lossyLog struct {
	*storelog.Memory
	late    bool
	appends atomic.Int64
}

func (l *lossyLog) Append(ctx context.Context, p storelog.Partition, expected int64, records []storelog.Record) (int64, error) {
	if l.appends.Add(1)%2 == 0 {
		return l.Memory.Append(ctx, p, expected, records)
	}
	if l.late {
		time.Sleep(2 * time.Second)
	}
	_, _ = l.Memory.Append(ctx, p, expected, records)
	<-ctx.Done()
	return -1, storelog.ErrUnknown
}

// TestLostAnswersDelayLittle answers a store that loses the answers of appends, which it
// executes at once or late: the end of a turn must not wait for the timeout of the call.
func TestLostAnswersDelayLittle(t *testing.T) {
	for _, late := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			log := &lossyLog{Memory: storelog.NewMemory(), late: late}
			h := newHome(log, nil)
			parent, chain := "", ""
			for n := range 10 {
				id := "t" + strconv.Itoa(n)
				start := time.Now()
				is.True(h.End(deadline(t, time.Second), ended(id, parent, 10)))
				is.True(time.Since(start) <= hedge)
				parent, chain = id, chain+"in-"+id+";out-"+id+"\n"
			}
			is.Equal(log.appends.Load(), int64(20)) // each once, and once more to learn that it took effect
			time.Sleep(5 * time.Second)
			is.Equal(string(begin(t, newHome(log, nil), "next", parent, 0).Chain), chain)
			time.Sleep(5 * time.Second)
		})
	}
}

// TestSlowStoreGetsAppendsOnce guards against a store that is slow and gets each append
// twice, which makes it slower.
func TestSlowStoreGetsAppendsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := storelog.NewMemory()
		var appends atomic.Int64
		log.SetFault(func(call string, _ storelog.Partition) (error, bool) {
			if call == "append" {
				appends.Add(1)
				time.Sleep(240 * time.Millisecond)
			}
			return nil, false
		})
		h := newHome(log, nil)
		for n := range 10 {
			is.True(h.End(deadline(t, 2*time.Second), ended("t"+strconv.Itoa(n), "", 10)))
		}
		is.True(appends.Load() <= 12)
		time.Sleep(time.Second)
	})
}

// gatedLog executes appends only when its gate is open.
type gatedLog struct {
	*storelog.Memory
	gate chan struct{}
}

func (l gatedLog) Append(ctx context.Context, p storelog.Partition, expected int64, records []storelog.Record) (int64, error) {
	<-l.gate
	return l.Memory.Append(ctx, p, expected, records)
}

// countingLog counts the records of appends.
type countingLog struct {
	*storelog.Memory
	records atomic.Int64
}

func (l *countingLog) Append(ctx context.Context, p storelog.Partition, expected int64, records []storelog.Record) (int64, error) {
	end, err := l.Memory.Append(ctx, p, expected, records)
	if err == nil {
		l.records.Add(int64(len(records)))
	}
	return end, err
}

// TestRepeatedSettlementIsQueuedOnce answers a long outage of the store, in which hosts
// repeat each settlement: every repetition must not become a record.
func TestRepeatedSettlementIsQueuedOnce(t *testing.T) {
	is := is.New(t)
	log := &countingLog{Memory: storelog.NewMemory()}
	h := newHome(log, nil)
	is.Equal(begin(t, h, "t0", "", 0).Outcome, turns.Granted)
	log.SetFault(down)
	before := log.records.Load()
	for range 20 {
		is.True(!h.End(deadline(t, 5*time.Millisecond), ended("t0", "", 10)))
	}
	log.SetFault(nil)
	is.True(h.End(deadline(t, time.Second), ended("t0", "", 10)))
	is.Equal(log.records.Load()-before, int64(1))
}

// TestLateReservationDoesNotHideTurn guards against the reservation of a turn that is
// appended after the turn's end and then is all that a new home reads of it.
func TestLateReservationDoesNotHideTurn(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	gate := make(chan struct{})
	slow := newHome(gatedLog{log, gate}, nil)
	args := turns.BeginArgs{Account: "a", Program: "p", Turn: "t1", MaxTokens: 100, RetentionMS: 60_000}
	is.Equal(slow.Begin(deadline(t, 50*time.Millisecond), args).Outcome, turns.Unavailable)
	fast := newHome(log, nil)
	is.True(fast.End(deadline(t, time.Second), ended("t1", "", 10)))
	close(gate)
	is.Equal(begin(t, slow, "t2", "t1", 0).Outcome, turns.Granted)
	fresh := newHome(log, nil)
	is.Equal(begin(t, fresh, "t3", "t1", 0).Outcome, turns.Granted)
}
