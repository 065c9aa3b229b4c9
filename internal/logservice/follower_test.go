package logservice_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/logservice"
	"cowslipgw/internal/standin/logserver"
	"cowslipgw/internal/structs"
)

// TestFollowOutage guards against records that are lost or duplicated across an outage,
// and against an age that does not grow during one.
func TestFollowOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t, logserver.Settings{})
		var got recordingHandler
		f := env.follow(t, &got, logservice.FollowerOptions{})
		for i := range 3 {
			env.server.Append("fleet", fmt.Sprint(i), nil)
		}
		waitForFollowers()
		got.checkContiguous(t, 1, 3)
		age, ok := f.Age()
		is.True(ok)
		is.True(age <= 2*time.Second)
		is.True(f.Reachable())

		env.server.SetFaults(logserver.Faults{Down: true})
		env.server.Append("fleet", "in the outage", nil)
		time.Sleep(time.Minute)
		age, _ = f.Age()
		is.True(age >= time.Minute)
		is.True(!f.Reachable())
		got.checkContiguous(t, 1, 3)

		env.server.SetFaults(logserver.Faults{})
		waitForFollowers()
		got.checkContiguous(t, 1, 4)
		age, _ = f.Age()
		is.True(age <= 2*time.Second)
	})
}

// TestFollowCut guards against a follower that hangs on a connection on which the log no
// longer answers.
func TestFollowCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t, logserver.Settings{})
		var got recordingHandler
		f := env.follow(t, &got, logservice.FollowerOptions{})
		waitForFollowers()
		env.network.CutBoth(logIP, hostIP)
		time.Sleep(10 * time.Second)
		is.True(!f.Reachable())
		age, _ := f.Age()
		is.True(age >= 10*time.Second)
		env.server.Append("fleet", "a", nil)
		env.network.Restore(logIP, hostIP)
		waitForFollowers()
		got.checkContiguous(t, 1, 1)
	})
}

// TestFollowAgeCountsFromRequest guards against an age that counts from the arrival of a
// delayed answer, which does not include records appended while it was in transit.
func TestFollowAgeCountsFromRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t, logserver.Settings{})
		env.network.SetDelay(logIP, hostIP, 800*time.Millisecond)
		var got recordingHandler
		f := env.follow(t, &got, logservice.FollowerOptions{Wait: time.Second})
		for range 50 {
			time.Sleep(130 * time.Millisecond)
			if age, ok := f.Age(); ok {
				is.True(age >= 1800*time.Millisecond)
			}
		}
	})
}

// TestFollowTrim guards against a follower that stops or restarts from the beginning when
// the next record was trimmed.
func TestFollowTrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t, logserver.Settings{RetainRecords: 4})
		var got recordingHandler
		for i := range 10 {
			env.server.Append("fleet", fmt.Sprint(i), nil)
		}
		f := env.follow(t, &got, logservice.FollowerOptions{After: 2})
		waitForFollowers()
		is.Equal(got.trimmed(), []structs.Offset{7})
		got.checkContiguous(t, 7, 10)
		_, kept := f.Since(2, 10)
		is.True(!kept) // records before the gap are not forwarded as if they were contiguous
		records, kept := f.Since(8, 10)
		is.True(kept)
		is.Equal(len(records), 2)
	})
}

// TestFollowTrimByAge guards against age-based retention that trims the wrong records,
// and against a follower that cannot continue after the whole stream was trimmed.
func TestFollowTrimByAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t, logserver.Settings{RetainFor: time.Minute})
		env.server.Append("fleet", "a", nil)
		time.Sleep(40 * time.Second)
		env.server.Append("fleet", "b", nil)
		time.Sleep(40 * time.Second)
		is.Equal(env.server.Records("fleet")[0].ID, "b")
		time.Sleep(time.Minute)
		is.Equal(len(env.server.Records("fleet")), 0)
		var got recordingHandler
		f := env.follow(t, &got, logservice.FollowerOptions{})
		waitForFollowers()
		is.Equal(got.trimmed(), []structs.Offset{3})
		is.Equal(int(f.Offset()), 2)
		env.server.Append("fleet", "c", nil)
		waitForFollowers()
		got.checkContiguous(t, 3, 3)
	})
}

// TestFollowForwarded guards against records that are applied twice or out of order when
// they arrive interleaved from the log and from peers.
func TestFollowForwarded(t *testing.T) {
	const records = 400
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t, logserver.Settings{})
		var got recordingHandler
		f := env.follow(t, &got, logservice.FollowerOptions{Batch: 3})
		random := rand.New(rand.NewPCG(1, 2))
		for i := range records {
			env.server.Append("fleet", fmt.Sprint(i), nil)
			env.server.SetFaults(logserver.Faults{Down: random.IntN(10) < 8})
			all := forwarded(env.server)
			from := random.IntN(len(all))
			f.Offer(all[from:min(len(all), from+random.IntN(20))])
			time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
		}
		env.server.SetFaults(logserver.Faults{})
		waitForFollowers()
		got.checkContiguous(t, 1, records)

		// Records after a gap are not applied, and older records are ignored.
		is.Equal(f.Offer([]logservice.Record{{Offset: records + 2, ID: "x"}}), 0)
		is.Equal(f.Offer(forwarded(env.server)), 0)
		is.Equal(f.Offer([]logservice.Record{{Offset: records, ID: "old"}, {Offset: records + 1, ID: "new"}}), 1)
		got.checkContiguous(t, 1, records+1)
	})
}

// forwarded returns all records of the log in the form in which a peer forwards them.
func forwarded(server *logserver.Server) []logservice.Record {
	var records []logservice.Record
	for _, r := range server.Records("fleet") {
		records = append(records, logservice.Record{Offset: structs.Offset(r.Offset), ID: r.ID, Data: r.Data})
	}
	return records
}

// TestFollowKeepsBound guards against a record cache that grows with the stream.
func TestFollowKeepsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		env := newTestEnv(t, logserver.Settings{})
		var got recordingHandler
		f := env.follow(t, &got, logservice.FollowerOptions{CachedRecords: 10})
		for i := range 100 {
			env.server.Append("fleet", fmt.Sprint(i), nil)
		}
		waitForFollowers()
		records, kept := f.Since(90, 100)
		is.True(kept)
		is.Equal(len(records), 10)
		_, kept = f.Since(89, 100)
		is.True(!kept)
		for i := range 8 { // 1 MiB each, of which 4 MiB are kept
			env.server.Append("fleet", fmt.Sprint("large", i), make([]byte, 1<<20))
		}
		waitForFollowers()
		_, kept = f.Since(103, 100)
		is.True(!kept)
		records, kept = f.Since(104, 100)
		is.True(kept)
		is.Equal(len(records), 4)
	})
}
