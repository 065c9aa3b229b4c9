package peers

import (
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// newUnequalTable returns a table with large hosts of four cores and small hosts of one.
// The table's own host is host 0, a large one. overloaded reports which hosts are overloaded.
func newUnequalTable(large, small int, overloaded func(n int) bool) *Table {
	t := NewTable(Host{ID: "0", Cores: 4}, func() bool { return true })
	t.SetServing(true)
	for n := 1; n < large+small; n++ {
		cores := 1.0
		if n < large {
			cores = 4
		}
		t.HandleHeartbeat(Heartbeat{Host: Host{ID: strconv.Itoa(n), Incarnation: 1, Cores: cores}, Condition: Condition{Serving: true, Overloaded: overloaded(n)}})
	}
	return t
}

func noneOverloaded(int) bool { return false }

// TestCallersAreSentToLargestHosts guards against sending callers to the small hosts of a
// fleet with hosts of different sizes, where a request takes several times as long.
func TestCallersAreSentToLargestHosts(t *testing.T) {
	is := is.New(t)
	is.Equal(len(newUnequalTable(10, 30, noneOverloaded).Serving("")), 10)
	is.Equal(len(newUnequalTable(40, 0, noneOverloaded).Serving("")), 40)
	is.Equal(len(newUnequalTable(4, 30, noneOverloaded).Serving("")), 34) // four have less than half of the cores
	is.Equal(len(newUnequalTable(6, 1, noneOverloaded).Serving("")), 7)   // a small fleet uses all its hosts
	is.Equal(len(newUnequalTable(1, 0, noneOverloaded).Serving("")), 1)
}

// TestOverloadedHostsAreSparedWhileFew guards against sending callers to hosts that lack
// processor time, and against leaving out overloaded hosts when there are many of them,
// because the load then needs the whole fleet.
func TestOverloadedHostsAreSparedWhileFew(t *testing.T) {
	is := is.New(t)
	for _, h := range newUnequalTable(12, 0, func(n int) bool { return n == 3 }).Serving("") {
		is.True(h.ID != "3")
	}
	is.Equal(len(newUnequalTable(12, 20, func(n int) bool { return n < 12 }).Serving("")), 32)
}

// TestOwnersFollowProcessorTime guards against small hosts that own as many keys as large
// ones.
func TestOwnersFollowProcessorTime(t *testing.T) {
	is := is.New(t)
	table := newUnequalTable(8, 8, noneOverloaded)
	large := 0
	const keys = 4000
	for key := range uint64(keys) {
		if table.Candidates(key, 1)[0].Cores == 4 {
			large++
		}
	}
	share := float64(large) / keys
	is.True(share > 0.75 && share < 0.85) // 32 of 40 cores
}

// TestOverloadedHostsAreNoOwners guards against programs that wait for an owner without
// processor time while other hosts have some.
func TestOverloadedHostsAreNoOwners(t *testing.T) {
	is := is.New(t)
	table := newUnequalTable(8, 0, func(n int) bool { return n == 5 })
	for key := range uint64(200) {
		is.True(table.Candidates(key, 1)[0].ID != "5")
	}
}
