package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/fleet/fleettest"
)

// TestTwoDeadHostsAreEvicted guards against dead hosts that stay in the view.
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

// TestMostHostsDie guards against a fleet that cannot agree on the loss of most of
// its hosts.
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

// TestCutHostEvictsNobody guards against a host that is cut off from its peers and
// takes them for dead, and against one that does not come back afterwards.
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

// TestCutHostDoesNotFlap guards against a host that joins again every few seconds
// while it is cut off, which would move its partitions each time.
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
