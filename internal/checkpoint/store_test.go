package checkpoint

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/event"
	"cowslipgw/internal/logservice"
	"cowslipgw/internal/partition"
	"cowslipgw/internal/program"
	"cowslipgw/internal/standin"
	"cowslipgw/internal/standin/logserver"
	"cowslipgw/internal/structs"
	"cowslipgw/internal/transport"
)

// fakeOwned holds the owned partitions of a test.
type fakeOwned map[partition.ID]*ownedState

type ownedState struct {
	base partition.Base
	data []byte
}

func (s fakeOwned) VisitBases(visit func(partition.ID, partition.Base, partition.StateMachine)) {
	for id, owned := range s {
		visit(id, owned.base, nil)
	}
}

func (s fakeOwned) CopyOf(id partition.ID) (partition.Base, []byte, bool) {
	owned, ok := s[id]
	if !ok {
		return partition.Base{}, nil, false
	}
	return owned.base, owned.data, true
}

// runStore runs a test with a store and a log server with the given settings.
func runStore(t *testing.T, owned fakeOwned, settings logserver.Settings, test func(t *testing.T, s *Store, log *logserver.Server)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := transport.NewMemory()
		log := logserver.New(settings)
		server, err := standin.Listen(context.Background(), network.Host("10.0.0.1"), "10.0.0.1:80", log)
		if err != nil {
			t.Fatal(err)
		}
		defer server.Close()
		defer log.Close()
		client := logservice.NewClient(network.Host("10.0.0.2"), "10.0.0.1:80")
		defer client.Close()
		s := New(Options{
			Log: client, Appender: logservice.NewAppender(client, event.Discard()), Owned: owned,
			Empty:      func(partition.StateMachine) bool { return false },
			AppendRate: func() float64 { return 8 }, Retention: time.Hour, Logger: event.Discard(),
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			s.Run(ctx)
		}()
		defer func() {
			cancel()
			<-done
		}()
		test(t, s, log)
	})
}

func at(view, seq uint64) partition.Base {
	return partition.Base{Activated: structs.ViewNumber(view), Seq: seq}
}

// TestNewestCheckpointWins guards against an older state that replaces a newer one, in
// the log or at the host, and against restoring a state of which the log has only some
// pieces.
func TestNewestCheckpointWins(t *testing.T) {
	long := bytes.Repeat([]byte("history "), 200_000)
	owned := fakeOwned{1: {at(5, 7), []byte("seven")}, 2: {at(5, 1), long}}
	runStore(t, owned, logserver.Settings{}, func(t *testing.T, s *Store, log *logserver.Server) {
		is := is.New(t)
		time.Sleep(DefaultInterval + 2*time.Second)
		for _, late := range []partition.Base{at(5, 6), at(4, 900)} {
			data, err := encode(split(1, late, []byte("older")))
			is.NoErr(err)
			log.Append(Stream, fmt.Sprint(late), data)
		}
		data, err := encode(split(2, at(9, 9), long)[:1])
		is.NoErr(err)
		log.Append(Stream, "first piece only", data)
		log.Append(Stream, "invalid", []byte("no checkpoint"))
		time.Sleep(2 * time.Second)

		base, state, err := s.Restore(1, at(5, 6))
		is.NoErr(err)
		is.Equal(base, at(5, 7))
		is.Equal(string(state), "seven")
		_, state, err = s.Restore(2, partition.Base{})
		is.NoErr(err)
		is.True(bytes.Equal(state, long))
		_, _, err = s.Restore(1, at(5, 7)) // the copy found is as new as the checkpoint
		is.Equal(err, ErrNotFound)
		for _, record := range log.Records(Stream) {
			is.True(len(record.Data) <= maxRecordBytes)
		}
	})
}

// TestCheckpointOutlivesRetention guards against an idle partition whose checkpoint the
// log trims, and against appends for unchanged states.
func TestCheckpointOutlivesRetention(t *testing.T) {
	owned := fakeOwned{1: {at(5, 7), []byte("seven")}}
	runStore(t, owned, logserver.Settings{RetainFor: time.Hour}, func(t *testing.T, s *Store, _ *logserver.Server) {
		is := is.New(t)
		time.Sleep(10 * time.Minute)
		appends, _ := s.Written()
		is.Equal(appends, int64(1))
		time.Sleep(3 * time.Hour)
		_, state, err := s.Restore(1, partition.Base{})
		is.NoErr(err)
		is.Equal(string(state), "seven")
	})
}

// TestAppendsStayInShare guards against checkpoints that delay other appends to the
// log.
func TestAppendsStayInShare(t *testing.T) {
	owned := fakeOwned{}
	for id := range partition.ID(600) {
		owned[id] = &ownedState{at(5, 1), bytes.Repeat([]byte("x"), 300<<10)}
	}
	runStore(t, owned, logserver.Settings{}, func(t *testing.T, s *Store, _ *logserver.Server) {
		is := is.New(t)
		time.Sleep(3*DefaultInterval + time.Second)
		appends, _ := s.Written()
		is.True(appends > 100)
		is.True(appends <= 3*8*10) // 8 per second
	})
}

// measure enables TestVolume, which takes 12 s.
var measure = flag.Bool("measure", false, "measure the volume of checkpoints")

// TestVolume reports the log volume of checkpoints of 10,000 programs with 20 turns
// each.
func TestVolume(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; run with -measure")
	}
	owned := fakeOwned{}
	machines := make(map[partition.ID]*program.State)
	origin := structs.Origin{Host: "host-01", Incarnation: 1}
	text := func(size int) []byte { return []byte(`"` + string(bytes.Repeat([]byte("pack "), size/5)) + `"`) }
	for n := range 10_000 {
		key := program.Key{Account: "clinic", Root: structs.ProgramID(fmt.Sprintf("return-%d", n))}
		key.Program = key.Root
		id := partition.ForKey(key.Account, string(key.Root))
		if machines[id] == nil {
			machines[id] = program.New(id, program.DefaultLimits)
		}
		for turn := range 20 {
			call := structs.CallID(fmt.Sprintf("call-%d-%d", n, turn))
			clock := structs.OwnerClock{Owner: origin, Now: time.Unix(1, 0)}
			begin, err := machines[id].DecideBegin(program.BeginRequest{
				Key: key, Call: call, Origin: origin, Depth: 1, MaxTokens: 256,
				Messages: []structs.Message{{Role: "user", Content: text(400)}},
			}, func(structs.Origin) bool { return true }, clock)
			if err != nil || machines[id].Apply(begin.Op) != nil {
				t.Fatal("begin", err)
			}
			settle, err := machines[id].DecideSettle(program.SettleRequest{
				Key: key, Call: call, Outcome: structs.OutcomeAnswered, Replica: "llm-1",
				Answer: structs.Message{Role: "assistant", Content: text(800)},
			}, clock)
			if err != nil || machines[id].Apply(settle) != nil {
				t.Fatal("settle", err)
			}
		}
	}
	for id, machine := range machines {
		data, err := machine.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		owned[id] = &ownedState{at(5, 1), data}
	}
	runStore(t, owned, logserver.Settings{}, func(t *testing.T, s *Store, _ *logserver.Server) {
		s.options.AppendRate = func() float64 { return logservice.FleetAppendRate / 2 }
		time.Sleep(DefaultInterval + 5*time.Second)
		all, allBytes := s.Written()
		changed := 0
		for _, owned := range owned {
			if changed++; changed%10 == 0 {
				owned.base.Seq++
			}
		}
		time.Sleep(DefaultInterval)
		appends, bytes := s.Written()
		t.Logf("all %d partitions: %d appends, %d bytes", len(owned), all, allBytes)
		t.Logf("a tenth of them: %d appends, %d bytes", appends-all, bytes-allBytes)
		is.New(t).True(float64(all)/DefaultInterval.Seconds() < logservice.FleetAppendRate/2)
	})
}
