package peers

import (
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// newUnequalTable returns a table of large hosts with four cores and small ones with one.
// Host 0 is itself, and large.
func newUnequalTable(large, small int, strained func(n int) bool) *Table {
	t := NewTable(Host{ID: "0", Cores: 4}, func() bool { return true })
	t.SetServing(true)
	for n := 1; n < large+small; n++ {
		cores := 1.0
		if n < large {
			cores = 4
		}
		t.Heard(Heartbeat{Host: Host{ID: strconv.Itoa(n), Incarnation: 1, Cores: cores}, Condition: Condition{Serving: true, Strained: strained(n)}})
	}
	return t
}

func none(int) bool { return false }

// TestCallersAreSentToLargestHosts answers fleets of unequal hosts: a request takes
// several times as long at a small one.
func TestCallersAreSentToLargestHosts(t *testing.T) {
	is := is.New(t)
	is.Equal(len(newUnequalTable(10, 30, none).Serving("")), 10)
	is.Equal(len(newUnequalTable(40, 0, none).Serving("")), 40)
	is.Equal(len(newUnequalTable(4, 30, none).Serving("")), 34) // four hold too little
	is.Equal(len(newUnequalTable(6, 1, none).Serving("")), 7)   // few hosts are all used
	is.Equal(len(newUnequalTable(1, 0, none).Serving("")), 1)
}

// TestStrainedHostsAreSparedWhileFew guards against callers that are sent to hosts
// without processor time, and against a whole fleet that is left out under load.
func TestStrainedHostsAreSparedWhileFew(t *testing.T) {
	is := is.New(t)
	for _, h := range newUnequalTable(12, 0, func(n int) bool { return n == 3 }).Serving("") {
		is.True(h.ID != "3")
	}
	is.Equal(len(newUnequalTable(12, 20, func(n int) bool { return n < 12 }).Serving("")), 32)
}

// TestHomesFollowProcessorTime guards against small hosts that decide for as many
// partitions as large ones.
func TestHomesFollowProcessorTime(t *testing.T) {
	is := is.New(t)
	table := newUnequalTable(8, 8, none)
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

// TestStrainedHostsAreNoHomes guards against programs that wait for a home without
// processor time while others have some.
func TestStrainedHostsAreNoHomes(t *testing.T) {
	is := is.New(t)
	table := newUnequalTable(8, 0, func(n int) bool { return n == 5 })
	for key := range uint64(200) {
		is.True(table.Candidates(key, 1)[0].ID != "5")
	}
}
