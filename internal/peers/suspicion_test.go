package peers

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestSlowHostStaysSuspect guards against partitions that move to and fro with each
// heartbeat of a host which fails calls, but is alive.
func TestSlowHostStaysSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTestTable(4, true)
		moves, first := 0, false
		for range 100 { // 20 s with a heartbeat and a failed call every 200 ms
			time.Sleep(200 * time.Millisecond)
			for _, id := range []string{"1", "2", "3"} {
				table.Heard(Heartbeat{Host: Host{ID: id, Incarnation: 1}, Condition: Condition{Serving: true}})
			}
			if used := uses(table, "2"); used != first {
				moves++
				first = used
			}
			if first {
				table.Suspect("2")
			}
		}
		is.True(moves <= 12) // one failed call in each 200 ms would make 100
	})
}

// uses reports whether a host is the first candidate of any key.
func uses(t *Table, id string) bool {
	for _, first := range firsts(t) {
		if first == id {
			return true
		}
	}
	return false
}

// TestRestartedHostIsTrusted guards against a host that is left out for seconds after a
// restart, because calls to the process before failed.
func TestRestartedHostIsTrusted(t *testing.T) {
	is := is.New(t)
	table := newTestTable(4, true)
	table.Suspect("2")
	table.Heard(Heartbeat{Host: Host{ID: "2", Incarnation: 1}, Condition: Condition{Serving: true}})
	table.Suspect("2")
	table.Heard(Heartbeat{Host: Host{ID: "2", Incarnation: 1}, Condition: Condition{Serving: true}})
	is.True(!uses(table, "2"))
	table.Heard(Heartbeat{Host: Host{ID: "2", Incarnation: 2}, Condition: Condition{Serving: true}})
	is.True(uses(table, "2"))
}

// TestStrain guards against strain that is found in a single pause, or that comes and
// goes with each measurement.
func TestStrain(t *testing.T) {
	is := is.New(t)
	var s Strain
	s.enter(10 * time.Second)
	is.True(!s.Strained()) // one pause
	for range 20 {
		s.enter(40 * time.Millisecond)
	}
	is.True(s.Strained())
	s.enter(0)
	is.True(s.Strained())
	for range 20 {
		s.enter(time.Millisecond)
	}
	is.True(!s.Strained())
}
