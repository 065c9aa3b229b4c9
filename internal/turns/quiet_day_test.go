package turns_test

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/storelog"
	"cowslipgw/internal/turns"
)

// quietDay is the load of one partition on a quiet day: programs of 3 to 11 turns of 0.2 s on a route
// that stores no turns, each third one with two sub-agents.
type quietDay struct {
	owner *turns.Owner
	// budget is the number of largest turns in the budget of each program.
	budget int
	begun  atomic.Int64
	// waited is the number of turns that waited for the store, refused that of refused ones.
	waited, refused atomic.Int64
}

// turn runs one turn of a program.
func (d *quietDay) turn(program, id string, random *rand.Rand) {
	const largest = 100
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	start := time.Now()
	reply := d.owner.Begin(ctx, turns.BeginArgs{Account: "a", Program: program, Turn: id, Budget: d.budget * largest,
		MaxTokens: largest, RetentionMS: 60_000})
	d.begun.Add(1)
	if time.Since(start) > 0 {
		d.waited.Add(1)
	}
	if reply.Outcome != turns.Granted {
		d.refused.Add(1)
		return
	}
	time.Sleep(time.Duration(150+random.IntN(100)) * time.Millisecond)
	closed := turns.Turn{ID: id, Account: "a", Program: program, State: turns.Closed, Tokens: 60 + random.IntN(20),
		Expiry: time.Now().Add(time.Minute).UnixMilli()}
	go d.owner.End(context.Background(), closed)
}

// program runs one program.
func (d *quietDay) program(name string, random *rand.Rand) {
	length := 3 + random.IntN(9)
	for n := range length {
		d.turn(name, name+"-"+strconv.Itoa(n), random)
		if n == 1 && random.IntN(3) == 0 {
			var agents sync.WaitGroup
			for agent := range 2 {
				random := rand.New(rand.NewPCG(random.Uint64(), 1))
				agents.Go(func() {
					for k := range 2 {
						d.turn(name, name+"-"+strconv.Itoa(agent)+"-"+strconv.Itoa(k), random)
					}
				})
			}
			agents.Wait()
		}
		time.Sleep(time.Duration(20+random.IntN(300)) * time.Millisecond)
	}
}

// TestQuietDayTakesFewAppends guards against one append for each turn of a route that stores no turns.
func TestQuietDayTakesFewAppends(t *testing.T) {
	for _, budget := range []int{0, 12, 14, 24} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			const answer, day, programsPerSecond = 4 * time.Millisecond, 200 * time.Second, 1.47
			log := &slowLog{Memory: storelog.NewMemory(), delay: answer}
			d := &quietDay{owner: newOwner(log, nil), budget: budget}
			random := rand.New(rand.NewPCG(1, 1))
			var wait sync.WaitGroup
			start := time.Now()
			for _, name := range samePartition(int(programsPerSecond * day.Seconds())) {
				time.Sleep(time.Duration(random.ExpFloat64() / programsPerSecond * float64(time.Second)))
				random := rand.New(rand.NewPCG(random.Uint64(), 1))
				wait.Go(func() { d.program(name, random) })
			}
			wait.Wait()
			t.Logf("budget %d: %d turns in %v, %d waited for the store, %d appends", budget, d.begun.Load(),
				time.Since(start).Round(time.Second), d.waited.Load(), log.appends.Load())
			is.Equal(d.refused.Load(), int64(0))
			is.True(log.appends.Load() <= d.begun.Load()*2/5)
			time.Sleep(time.Second)
		})
	}
}
