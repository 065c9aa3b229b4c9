package fleet_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/fleet"
	"cowslipgw/internal/fleet/fleettest"
	"cowslipgw/internal/structs"
)

// TestTwoDeadHostsAreEvicted guards against failed hosts that remain in the view, and
// against evictions of live hosts.
func TestTwoDeadHostsAreEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := fleettest.New(t)
		f.Start(t, 12)
		start := time.Now()
		f.Hosts[3].Kill()
		f.Hosts[7].Kill()
		f.Await(t, 6*time.Second, 10)
		is.True(time.Since(start) >= 3*time.Second)
		for _, h := range f.Live() {
			is.Equal(f.Evicted(h.ID), 0)
		}
	})
}

// TestMostHostsDie guards against a fleet that cannot evict hosts after most of them, and
// so most watchers, have failed at once.
func TestMostHostsDie(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleettest.New(t)
		f.Start(t, 12)
		for i := range 7 {
			f.Hosts[i].Kill()
		}
		f.Await(t, time.Minute, 5)
	})
}

// TestCutHostEvictsNobody guards against a partitioned host that gets its live peers
// evicted, and against one that does not rejoin after the partition heals.
func TestCutHostEvictsNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := fleettest.New(t)
		f.Start(t, 7)
		f.Hosts[2].CutPeers(true)
		time.Sleep(30 * time.Second)
		f.Hosts[2].CutPeers(false)
		time.Sleep(10 * time.Second)
		f.Await(t, time.Second, 7)
		is.True(f.Evicted(f.Hosts[2].ID) >= 1)
		for _, h := range f.Hosts {
			if h != f.Hosts[2] {
				is.Equal(f.Evicted(h.ID), 0)
			}
		}
	})
}

// TestCutHostDoesNotFlap guards against a partitioned host that rejoins every few
// seconds, which would move its partitions each time.
func TestCutHostDoesNotFlap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := fleettest.New(t)
		f.Start(t, 7)
		f.Hosts[2].CutPeers(true)
		time.Sleep(2 * time.Minute)
		is.True(f.Evicted(f.Hosts[2].ID) <= 5)
	})
}

// TestHostCutFromLog guards against a host that loses its connection to the log and then
// misses records or is no longer current, although its peers can forward the records.
func TestHostCutFromLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := fleettest.New(t)
		f.Start(t, 12)
		cut := f.Hosts[4]
		f.Log.SetCut(cut.ID, true)
		f.Append(t, fleettest.ListsStream, "edit")
		time.Sleep(4 * time.Second)
		for range 100 {
			time.Sleep(200 * time.Millisecond)
			is.True(cut.Member.Current(time.Now()))
		}
		is.Equal(cut.Lists.Len(), 1)
		f.Hosts[7].Kill()
		f.Await(t, 8*time.Second, 11)
	})
}

// TestLogDownKeepsCurrent guards against a log outage that makes all hosts stop being
// current, and against hosts that evict each other after it.
func TestLogDownKeepsCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := fleettest.New(t)
		f.Start(t, 12)
		f.Log.SetDown(true)
		stale := make(map[structs.HostID]time.Duration)
		for range 300 {
			time.Sleep(200 * time.Millisecond)
			for _, h := range f.Hosts {
				if !h.Member.Current(time.Now()) {
					stale[h.ID] += 200 * time.Millisecond
				}
			}
		}
		for id, total := range stale {
			if total > 5*time.Second {
				t.Errorf("%s was not current for %v of an outage", id, total)
			}
		}
		f.Log.SetDown(false)
		time.Sleep(10 * time.Second)
		f.Await(t, time.Second, 12)
		for _, h := range f.Hosts {
			is.Equal(f.Evicted(h.ID), 0)
		}
	})
}

// TestHostCutFromAll guards against a host that counts as current while it is partitioned
// from both the log and its peers.
func TestHostCutFromAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := fleettest.New(t)
		f.Start(t, 6)
		cut := f.Hosts[1]
		f.Log.SetCut(cut.ID, true)
		cut.CutPeers(true)
		time.Sleep(6500 * time.Millisecond)
		is.True(!cut.Member.Current(time.Now()))
		time.Sleep(time.Minute)
		is.True(!cut.Member.Current(time.Now()))
		cut.CutPeers(false)
		time.Sleep(time.Millisecond)
		is.True(!cut.Member.Current(time.Now()))
		f.Log.SetCut(cut.ID, false)
		time.Sleep(40 * time.Second)
		f.Await(t, time.Second, 6)
		is.True(cut.Member.Current(time.Now()))
	})
}

// TestTrim guards against a host that joins after a trim of the log and derives a
// different view, and against missing snapshots.
func TestTrim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := fleettest.New(t)
		f.Retention = 4 * time.Minute
		f.Start(t, 5)
		time.Sleep(2 * time.Minute)
		var snapshot structs.Offset
		for _, record := range f.Log.Records(fleet.Stream) {
			decoded, err := fleet.DecodeRecord(record.Data)
			is.NoErr(err)
			if decoded.Kind == fleet.KindSnapshot {
				snapshot = record.Offset
			}
		}
		is.True(snapshot > 0)
		f.Log.Trim(fleet.Stream, snapshot)
		f.Start(t, 1)
		want := f.Hosts[0].Member.View()
		is.Equal(f.Hosts[5].Member.View(), want)
		_, fromStart := f.Hosts[5].Member.Recent()
		is.True(!fromStart)
	})
}

// TestLeave guards against a planned stop that is treated as a failure or that does not
// remove the host from the view.
func TestLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := fleettest.New(t)
		f.Start(t, 5)
		h := f.Hosts[3]
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		is.NoErr(h.Member.StartLeaving(ctx))
		host, found := h.Member.View().Find(h.ID)
		is.True(found && host.Leaving)
		time.Sleep(30 * time.Second)
		is.Equal(len(f.Hosts[0].Member.View().Hosts), 5)
		ctx, cancel = context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		is.NoErr(h.Member.FinishLeaving(ctx))
		time.Sleep(5 * time.Second)
		is.Equal(len(f.Hosts[0].Member.View().Hosts), 4)
		is.Equal(f.Evicted(h.ID), 0)
	})
}

// TestDomainFails guards against a fleet that cannot evict the hosts of a failure domain
// that fails as a whole.
func TestDomainFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleettest.New(t)
		f.Start(t, 12)
		for i := 0; i < 12; i += 3 {
			f.Hosts[i].Kill()
		}
		f.Await(t, 20*time.Second, 8)
	})
}

// TestReplacedHostStaysOut guards against two processes with the same ID that
// alternately replace each other in the view.
func TestReplacedHostStaysOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := fleettest.New(t)
		f.Start(t, 4)
		old := f.Hosts[1]
		defer old.Kill()
		f.Restart(t, 1)
		time.Sleep(time.Minute)
		is.Equal(old.Member.Incarnation(), structs.Incarnation(0))
		is.True(f.Hosts[1].Member.Incarnation() > 0)
		is.Equal(f.Evicted(old.ID), 1)
		is.Equal(len(f.Log.Records(fleet.Stream)), 5)
	})
}
