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

// hedge is the delay after which an unanswered append is sent again, plus a margin.
const hedge = 100 * time.Millisecond

// TestLostAnswerOfAppend guards against a turn that is rejected or counted twice because
// the store's answer is lost after the append took effect.
func TestLostAnswerOfAppend(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	o := newOwner(log, nil)
	is.Equal(begin(t, o, "t0", "", 300).Outcome, turns.Granted)
	lost := false
	log.SetFault(func(call string, _ storelog.Partition) (error, bool) {
		if call == "append" && !lost {
			lost = true
			return storelog.ErrUnknown, true
		}
		return nil, false
	})
	is.Equal(begin(t, o, "t1", "", 300).Outcome, turns.Granted)
	is.Equal(begin(t, o, "t2", "", 300).Outcome, turns.Granted)
	is.Equal(begin(t, o, "t3", "", 300).Outcome, turns.Exhausted)
}

// lossyLog executes every append and loses every second answer, beginning with the first.
// If late is set, an append whose answer is lost is executed only after the caller has
// given up.
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

// TestLostAnswersDelayLittle guards against the end of a turn waiting for the append
// timeout when the store loses answers to appends that it executes immediately or late.
func TestLostAnswersDelayLittle(t *testing.T) {
	for _, late := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			log := &lossyLog{Memory: storelog.NewMemory(), late: late}
			o := newOwner(log, nil)
			parent, chain := "", ""
			for n := range 10 {
				id := "t" + strconv.Itoa(n)
				start := time.Now()
				is.True(o.End(deadline(t, time.Second), ended(id, parent, 10)).Kept)
				is.True(time.Since(start) <= hedge)
				parent, chain = id, chain+"in-"+id+";out-"+id+"\n"
			}
			is.Equal(log.appends.Load(), int64(20)) // each once, plus one hedged append
			time.Sleep(5 * time.Second)
			is.Equal(string(begin(t, newOwner(log, nil), "next", parent, 0).Chain), chain)
			time.Sleep(5 * time.Second)
		})
	}
}

// TestSlowStoreGetsAppendsOnce guards against hedged appends to a store that is merely
// slow, which would slow it down further.
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
		o := newOwner(log, nil)
		for n := range 10 {
			is.True(o.End(deadline(t, 2*time.Second), ended("t"+strconv.Itoa(n), "", 10)).Kept)
		}
		is.True(appends.Load() <= 12)
		time.Sleep(time.Second)
	})
}

// gatedLog blocks appends until the gate channel is closed.
type gatedLog struct {
	*storelog.Memory
	gate chan struct{}
}

func (l gatedLog) Append(ctx context.Context, p storelog.Partition, expected int64, records []storelog.Record) (int64, error) {
	<-l.gate
	return l.Memory.Append(ctx, p, expected, records)
}

// countingLog counts the records that were appended.
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

// TestRepeatedSettlementIsQueuedOnce guards against one record for each retry of a
// settlement during a long outage of the store.
func TestRepeatedSettlementIsQueuedOnce(t *testing.T) {
	is := is.New(t)
	log := &countingLog{Memory: storelog.NewMemory()}
	o := newOwner(log, nil)
	is.Equal(begin(t, o, "t0", "", 0).Outcome, turns.Granted)
	log.SetFault(down)
	before := log.records.Load()
	for range 20 {
		is.True(!o.End(deadline(t, 5*time.Millisecond), ended("t0", "", 10)).Kept)
	}
	log.SetFault(nil)
	is.True(o.End(deadline(t, time.Second), ended("t0", "", 10)).Kept)
	is.Equal(log.records.Load()-before, int64(1))
}

// TestLateReservationDoesNotHideTurn guards against a reservation that is appended after
// the end of its turn: a new owner reads only the last record of a turn.
func TestLateReservationDoesNotHideTurn(t *testing.T) {
	is := is.New(t)
	log := storelog.NewMemory()
	gate := make(chan struct{})
	slow := newOwner(gatedLog{log, gate}, nil)
	args := turns.BeginArgs{Account: "a", Program: "p", Turn: "t1", MaxTokens: 100, RetentionMS: 60_000}
	is.Equal(slow.Begin(deadline(t, 50*time.Millisecond), args).Outcome, turns.Unavailable)
	fast := newOwner(log, nil)
	is.True(fast.End(deadline(t, time.Second), ended("t1", "", 10)).Kept)
	close(gate)
	is.Equal(begin(t, slow, "t2", "t1", 0).Outcome, turns.Granted)
	fresh := newOwner(log, nil)
	is.Equal(begin(t, fresh, "t3", "t1", 0).Outcome, turns.Granted)
}
