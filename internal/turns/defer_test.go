package turns_test

import (
	"context"
	"math/rand/v2"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/event"
	"cowslipgw/internal/peers"
	"cowslipgw/internal/storelog"
	"cowslipgw/internal/turns"
)

// closed returns a turn of program p of account a that cannot be continued.
func closed(id string, tokens int) turns.Turn {
	turn := ended(id, "", tokens)
	turn.State, turn.Input, turn.Output = turns.Closed, nil, nil
	return turn
}

// TestLostSettlementsKeepBudget guards against a budget that is exceeded because settlements that
// waited for further changes are lost: with their owner, or with it and the hosts that served the turns.
func TestLostSettlementsKeepBudget(t *testing.T) {
	const budget, largest = 1500, 100
	spent := 0
	for seed := range uint64(100) {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			log := storelog.NewMemory()
			var owner *turns.Owner
			restart := func() {
				self := peers.Host{ID: "h", Incarnation: incarnations.Add(1)}
				owner = turns.NewOwner(self, log, terminatedPeers{}, 8, event.Discard())
			}
			restart()
			sent := 0
			for n := range 150 {
				id := "t" + strconv.Itoa(n)
				switch random.IntN(12) {
				case 0:
					restart()
				case 1:
					time.Sleep(6 * time.Second) // preallocations of terminated owners are forgiven
				}
				if begin(t, owner, id, "", budget).Outcome != turns.Granted {
					continue
				}
				tokens := random.IntN(largest + 1)
				sent += tokens
				if sent > budget+largest {
					t.Fatalf("seed %d: %d tokens sent of a budget of %d", seed, sent, budget)
				}
				server, isLost := owner, random.IntN(2) == 0
				go func() {
					if !server.End(deadline(t, 300*time.Millisecond), closed(id, tokens)).Kept && !isLost {
						owner.End(deadline(t, time.Second), closed(id, tokens))
					}
				}()
				time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
			}
			spent += sent
			time.Sleep(2 * time.Second)
		})
	}
	if spent < 100*budget/2 {
		t.Fatalf("only %d tokens of 100 budgets were sent", spent)
	}
}

// TestSettlementsShareAppends guards against an append for each settlement that nobody waits for, and
// against one that delays a record for which somebody waits.
func TestSettlementsShareAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &slowLog{Memory: storelog.NewMemory(), delay: 4 * time.Millisecond}
		o := newOwner(log, nil)
		programs := samePartition(20)
		beginOne := func(program string) {
			args := turns.BeginArgs{Account: "a", Program: program, Turn: program, Budget: 2000, MaxTokens: 100, RetentionMS: 60_000}
			is.Equal(o.Begin(deadline(t, time.Second), args).Outcome, turns.Granted)
		}
		kept := make(chan time.Duration, len(programs))
		settle := func(program string, state turns.State) {
			start := time.Now()
			turn := turns.Turn{ID: program, Account: "a", Program: program, State: state, Tokens: 50, Expiry: time.Now().Add(time.Minute).UnixMilli()}
			is.True(o.End(deadline(t, 300*time.Millisecond), turn).Kept)
			kept <- time.Since(start)
		}
		for _, program := range programs {
			beginOne(program)
		}
		before := log.appends.Load()
		for _, program := range programs[:10] {
			go settle(program, turns.Closed)
		}
		for range 10 {
			is.True(<-kept <= 260*time.Millisecond)
		}
		is.Equal(log.appends.Load()-before, int64(1))
		// A turn that can be continued does not wait, and takes the others along.
		go settle(programs[10], turns.Closed)
		time.Sleep(time.Millisecond)
		go settle(programs[11], turns.Ended)
		is.True(<-kept <= 10*time.Millisecond)
		is.True(<-kept <= 10*time.Millisecond)
		is.Equal(log.appends.Load()-before, int64(2))
		// Neither does the first turn of a program.
		go settle(programs[12], turns.Closed)
		time.Sleep(time.Millisecond)
		start := time.Now()
		beginOne(programs[0] + "-new")
		is.True(time.Since(start) <= 4*time.Millisecond)
		time.Sleep(time.Second)
	})
}

// TestSettlementsAreBounded guards against settlements that pile up in memory while they wait.
func TestSettlementsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &slowLog{Memory: storelog.NewMemory(), delay: 4 * time.Millisecond}
		o := newOwner(log, nil)
		is.Equal(begin(t, o, "first", "", 0).Outcome, turns.Granted)
		before := log.appends.Load()
		const settlements = 64
		for n := range settlements {
			go o.End(context.Background(), closed("t"+strconv.Itoa(n), 1))
		}
		time.Sleep(10 * time.Millisecond)
		is.True(log.appends.Load() > before)
		time.Sleep(time.Second)
	})
}

// TestDrainingOwnerWritesAtOnce guards against a planned stop that waits for settlements which wait for
// further changes.
func TestDrainingOwnerWritesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		o := newOwner(storelog.NewMemory(), nil)
		is.Equal(begin(t, o, "t0", "", 0).Outcome, turns.Granted)
		is.Equal(begin(t, o, "t1", "", 0).Outcome, turns.Granted)
		go o.End(context.Background(), closed("t0", 10))
		synctest.Wait()
		is.True(!o.Idle())
		service := turns.NewService(o, func(int) bool { return true }, event.Discard())
		service.Drain(time.Now().Add(time.Minute))
		synctest.Wait()
		is.True(o.Idle())
		start := time.Now()
		is.True(o.End(deadline(t, time.Second), closed("t1", 10)).Kept)
		is.Equal(time.Since(start), time.Duration(0))
	})
}

// TestMovedProgramSeesWaitingSettlement guards against a program that is told that its budget is spent
// because the former owner of its partition has not written the settlement of its last turn.
func TestMovedProgramSeesWaitingSettlement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := storelog.NewMemory()
		first := newOwner(log, nil)
		second := newOwner(log, first)
		const budget = 1000
		is.Equal(begin(t, first, "t0", "", budget).Outcome, turns.Granted)
		is.Equal(begin(t, first, "t1", "", budget).Outcome, turns.Granted)
		go first.End(context.Background(), closed("t0", 0))
		synctest.Wait()
		is.True(!first.Idle())
		for n := range 9 { // the last one needs the tokens of t0
			is.Equal(begin(t, second, "s"+strconv.Itoa(n), "", budget).Outcome, turns.Granted)
		}
		go first.End(context.Background(), closed("t1", 0))
		synctest.Wait()
		is.Equal(begin(t, second, "s9", "", budget).Outcome, turns.Granted)
		is.Equal(begin(t, second, "s10", "", budget).Outcome, turns.Exhausted)
		time.Sleep(time.Second)
	})
}
