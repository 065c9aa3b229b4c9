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

// TestFollowOutage guards against records that are lost or doubled over an outage,
// and against an age that looks fresh during one.
func TestFollowOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, logserver.Settings{})
		var got journal
		f := w.follow(t, &got, logservice.FollowerOptions{})
		for i := range 3 {
			w.server.Append("fleet", fmt.Sprint(i), nil)
		}
		settle()
		got.checkContiguous(t, 1, 3)
		age, ok := f.Age()
		is.True(ok)
		is.True(age <= 2*time.Second)
		is.True(f.Reachable())

		w.server.SetFaults(logserver.Faults{Down: true})
		w.server.Append("fleet", "in the outage", nil)
		time.Sleep(time.Minute)
		age, _ = f.Age()
		is.True(age >= time.Minute)
		is.True(!f.Reachable())
		got.checkContiguous(t, 1, 3)

		w.server.SetFaults(logserver.Faults{})
		settle()
		got.checkContiguous(t, 1, 4)
		age, _ = f.Age()
		is.True(age <= 2*time.Second)
	})
}

// TestFollowCut guards against a follower that hangs on a connection whose other
// end does not answer.
func TestFollowCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, logserver.Settings{})
		var got journal
		f := w.follow(t, &got, logservice.FollowerOptions{})
		settle()
		w.network.CutBoth(logIP, hostIP)
		time.Sleep(10 * time.Second)
		is.True(!f.Reachable())
		age, _ := f.Age()
		is.True(age >= 10*time.Second)
		w.server.Append("fleet", "a", nil)
		w.network.Restore(logIP, hostIP)
		settle()
		got.checkContiguous(t, 1, 1)
	})
}

// TestFollowAgeCountsFromRequest guards against an age that counts from the
// arrival of a delayed answer, which says nothing about what came since.
func TestFollowAgeCountsFromRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, logserver.Settings{})
		w.network.SetDelay(logIP, hostIP, 800*time.Millisecond)
		var got journal
		f := w.follow(t, &got, logservice.FollowerOptions{Wait: time.Second})
		for range 50 {
			time.Sleep(130 * time.Millisecond)
			if age, ok := f.Age(); ok {
				is.True(age >= 1800*time.Millisecond)
			}
		}
	})
}

// TestFollowTrim guards against a follower that stops or goes back when the log
// no longer keeps the next record.
func TestFollowTrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, logserver.Settings{RetainRecords: 4})
		var got journal
		for i := range 10 {
			w.server.Append("fleet", fmt.Sprint(i), nil)
		}
		f := w.follow(t, &got, logservice.FollowerOptions{After: 2})
		settle()
		is.Equal(got.trimmed(), []structs.Offset{7})
		got.checkContiguous(t, 7, 10)
		_, kept := f.Since(2, 10)
		is.True(!kept) // records before the gap are not forwarded as if they were contiguous
		records, kept := f.Since(8, 10)
		is.True(kept)
		is.Equal(len(records), 2)
	})
}

// TestFollowTrimByAge guards against retention by age that keeps or drops the
// wrong records, also when the whole stream is trimmed.
func TestFollowTrimByAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, logserver.Settings{RetainFor: time.Minute})
		w.server.Append("fleet", "a", nil)
		time.Sleep(40 * time.Second)
		w.server.Append("fleet", "b", nil)
		time.Sleep(40 * time.Second)
		is.Equal(w.server.Records("fleet")[0].ID, "b")
		time.Sleep(time.Minute)
		is.Equal(len(w.server.Records("fleet")), 0)
		var got journal
		f := w.follow(t, &got, logservice.FollowerOptions{})
		settle()
		is.Equal(got.trimmed(), []structs.Offset{3})
		is.Equal(int(f.Offset()), 2)
		w.server.Append("fleet", "c", nil)
		settle()
		got.checkContiguous(t, 3, 3)
	})
}

// TestFollowForwarded guards against records that are applied twice or out of
// order when the log and peers deliver them in any mixture.
func TestFollowForwarded(t *testing.T) {
	const records = 400
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, logserver.Settings{})
		var got journal
		f := w.follow(t, &got, logservice.FollowerOptions{Batch: 3})
		random := rand.New(rand.NewPCG(1, 2))
		for i := range records {
			w.server.Append("fleet", fmt.Sprint(i), nil)
			w.server.SetFaults(logserver.Faults{Down: random.IntN(10) < 8})
			all := forwarded(w.server)
			from := random.IntN(len(all))
			f.Offer(all[from:min(len(all), from+random.IntN(20))])
			time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
		}
		w.server.SetFaults(logserver.Faults{})
		settle()
		got.checkContiguous(t, 1, records)

		// A gap is not passed over; older records change nothing.
		is.Equal(f.Offer([]logservice.Record{{Offset: records + 2, ID: "x"}}), 0)
		is.Equal(f.Offer(forwarded(w.server)), 0)
		is.Equal(f.Offer([]logservice.Record{{Offset: records, ID: "old"}, {Offset: records + 1, ID: "new"}}), 1)
		got.checkContiguous(t, 1, records+1)
	})
}

// forwarded returns the records of the log as a peer would forward them.
func forwarded(server *logserver.Server) []logservice.Record {
	var records []logservice.Record
	for _, r := range server.Records("fleet") {
		records = append(records, logservice.Record{Offset: structs.Offset(r.Offset), ID: r.ID, Data: r.Data})
	}
	return records
}

// TestFollowKeepsBound guards against memory that grows with the stream.
func TestFollowKeepsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, logserver.Settings{})
		var got journal
		f := w.follow(t, &got, logservice.FollowerOptions{Keep: 10})
		for i := range 100 {
			w.server.Append("fleet", fmt.Sprint(i), nil)
		}
		settle()
		records, kept := f.Since(90, 100)
		is.True(kept)
		is.Equal(len(records), 10)
		_, kept = f.Since(89, 100)
		is.True(!kept)
		for i := range 8 { // 1 MiB each, of which 4 MiB are kept
			w.server.Append("fleet", fmt.Sprint("large", i), make([]byte, 1<<20))
		}
		settle()
		_, kept = f.Since(103, 100)
		is.True(!kept)
		records, kept = f.Since(104, 100)
		is.True(kept)
		is.Equal(len(records), 4)
	})
}
