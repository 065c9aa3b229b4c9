package peers

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"cowslipgw/internal/boottime"
)

// newTestTable returns the table of host 0 that has just heard of count-1 others.
func newTestTable(count int, healthy bool) *Table {
	t := NewTable(Host{ID: "0"}, func() bool { return healthy })
	for n := 1; n < count; n++ {
		t.Heard(Heartbeat{Host: Host{ID: strconv.Itoa(n), Incarnation: 1}, Condition: Condition{Serving: true}})
	}
	return t
}

// firsts returns the first candidates of some keys.
func firsts(t *Table) []string {
	var ids []string
	for key := range uint64(50) {
		ids = append(ids, t.Candidates(key, 1)[0].ID)
	}
	return ids
}

// TestHomesAreSpread guards against a host that is the home of far more than its part.
func TestHomesAreSpread(t *testing.T) {
	is := is.New(t)
	table := newTestTable(8, true)
	got := make(map[string]int)
	for key := range uint64(800) {
		got[table.Candidates(key, 1)[0].ID]++
	}
	is.Equal(len(got), 8)
	for _, n := range got {
		is.True(n > 50 && n < 200)
	}
}

// TestSuspectIsPassedOver guards against calls to a host that has just failed one, until
// it is heard of again.
func TestSuspectIsPassedOver(t *testing.T) {
	is := is.New(t)
	table := newTestTable(4, true)
	before := firsts(table)
	table.Suspect("2")
	for _, id := range firsts(table) {
		is.True(id != "2")
	}
	table.Heard(Heartbeat{Host: Host{ID: "2", Incarnation: 1}, Condition: Condition{Serving: true}})
	is.Equal(firsts(table), before)
}

// TestHomesMoveInPartialOutage guards against homes that stay at hosts which cannot
// write, and against homes that move about while no host can.
func TestHomesMoveInPartialOutage(t *testing.T) {
	is := is.New(t)
	table := newTestTable(4, true)
	before := firsts(table)
	lost := func(ids ...string) {
		for _, id := range ids {
			table.Heard(Heartbeat{Host: Host{ID: id, Incarnation: 1}, Condition: Condition{Serving: true, StoreLost: true}})
		}
	}
	lost("3")
	for _, id := range firsts(table) {
		is.True(id != "3")
	}
	is.True(table.StoreElsewhere())
	lost("1", "2")
	is.Equal(firsts(table), before)
	is.True(!table.StoreElsewhere())
}

// TestServing guards against addresses of hosts that are gone, leave or do not serve.
func TestServing(t *testing.T) {
	is := is.New(t)
	table := newTestTable(5, true)
	table.Heard(Heartbeat{Host: Host{ID: "1", Incarnation: 1}, Condition: Condition{Serving: true, Leaving: true}})
	table.Heard(Heartbeat{Host: Host{ID: "2", Incarnation: 1}})
	table.members["3"].heard = boottime.Now().Add(-time.Minute)
	hosts := table.Serving("z")
	is.Equal(len(hosts), 1)
	is.Equal(hosts[0].ID, "4")
	table.SetServing(true)
	is.Equal(len(table.Serving("z")), 2)
	table.SetLeaving()
	is.Equal(len(table.Serving("z")), 1)
}

// TestRestartedHostReplacesItself guards against heartbeats of a process that was
// replaced.
func TestRestartedHostReplacesItself(t *testing.T) {
	is := is.New(t)
	table := newTestTable(2, true)
	is.True(table.Heard(Heartbeat{Host: Host{ID: "1", Incarnation: 2, Addr: "new"}}))
	is.True(!table.Heard(Heartbeat{Host: Host{ID: "1", Incarnation: 1, Addr: "old"}}))
	is.Equal(table.Others()[0].Addr, "new")
}
