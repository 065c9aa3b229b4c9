package turns_test

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/event"
	"cowslipgw/internal/peers"
	"cowslipgw/internal/storelog"
	"cowslipgw/internal/turns"
)

// slowLog answers every call after a delay, and counts the appends.
type slowLog struct {
	*storelog.Memory
	delay   time.Duration
	appends atomic.Int64
}

func (l *slowLog) Append(ctx context.Context, p storelog.Partition, expected int64, records []storelog.Record) (int64, error) {
	l.appends.Add(1)
	time.Sleep(l.delay)
	return l.Memory.Append(ctx, p, expected, records)
}

func (l *slowLog) Read(ctx context.Context, p storelog.Partition, from int64, wait time.Duration) ([]storelog.Record, int64, error) {
	time.Sleep(l.delay)
	return l.Memory.Read(ctx, p, from, wait)
}

// samePartition returns the names of programs of account a that have one partition.
func samePartition(count int) []string {
	var programs []string
	for n := 0; len(programs) < count; n++ {
		if name := strconv.Itoa(n); turns.PartitionOf("a", name) == 0 {
			programs = append(programs, name)
		}
	}
	return programs
}

// TestSlowStoreOnlyDelaysTurns guards against turns that are rejected while the store answers
// sixty times slower than usual: those of one partition wait for the append under way.
func TestSlowStoreOnlyDelaysTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const slow, rounds = 240 * time.Millisecond, 3
		log := &slowLog{Memory: storelog.NewMemory(), delay: slow}
		host := peers.Host{ID: "host-0", Incarnation: 1}
		client := turns.NewClient(oneHost{host}, nil, func() time.Duration { return slow })
		client.SetOwner(turns.NewOwner(host, log, singlePeer{}, 8, event.Discard()))
		start := time.Now()
		programs := samePartition(12)
		var wait sync.WaitGroup
		for n, program := range programs {
			wait.Go(func() {
				time.Sleep(time.Duration(n) * 50 * time.Millisecond)
				for round := range rounds {
					id := program + "-" + strconv.Itoa(round)
					reply, _ := client.Begin(context.Background(), turns.BeginArgs{Account: "a", Program: program, Turn: id, Budget: 1000,
						MaxTokens: 100, RetentionMS: 60_000}, nil)
					is.Equal(reply.Outcome, turns.Granted)
					is.True(client.End(context.Background(), turns.Turn{ID: id, Account: "a", Program: program, State: turns.Ended, Tokens: 10,
						Expiry: time.Now().Add(time.Minute).UnixMilli()}).Kept)
				}
			})
		}
		wait.Wait()
		// Two appends a turn, each of which waits for the one before.
		is.True(time.Since(start) <= time.Second+4*rounds*slow)
		is.True(log.appends.Load() <= int64(time.Since(start)/slow)+2)
	})
}

// oneHost is a fleet that consists of one host.
type oneHost struct{ host peers.Host }

func (h oneHost) Self() peers.Host                             { return h.host }
func (h oneHost) Candidates(uint64, int) []peers.Host          { return []peers.Host{h.host} }
func (h oneHost) StorelessCandidates(uint64, int) []peers.Host { return []peers.Host{h.host} }
func (h oneHost) Others() []peers.Host                         { return nil }

// TestSlowStoreAnswersSearches guards against a search for a turn that is not answered while the
// store is slow, since an owner read one partition after the other. The callers of an owner
// that does not answer take it for unreachable.
func TestSlowStoreAnswersSearches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const slow = 240 * time.Millisecond
		log := &slowLog{Memory: storelog.NewMemory(), delay: slow}
		host := peers.Host{ID: "host-0", Incarnation: 1}
		owner := turns.NewOwner(host, log, singlePeer{}, 8, event.Discard())
		owner.Preload(context.Background(), func(int) bool { return true })
		service := turns.NewService(owner, func(int) bool { return true }, event.Discard())
		start := time.Now()
		var reply turns.LocateReply
		is.NoErr(service.Locate(turns.LocateArgs{Account: "a", Turn: "unknown", WaitMS: 820}, &reply))
		is.Equal(reply.Outcome, turns.UnknownParent)
		is.Equal(reply.Certain, ^uint64(0))
		is.True(time.Since(start) < 2*slow)
	})
}
