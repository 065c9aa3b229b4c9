package peers

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestSlowHostStaysSuspect guards against partitions that move back and forth with each
// heartbeat of a host that is alive but fails calls.
func TestSlowHostStaysSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newTestTable(4, true)
		moves, wasFirst := 0, false
		for range 100 { // 20 s with a heartbeat and a failed call every 200 ms
			time.Sleep(200 * time.Millisecond)
			for _, id := range []string{"1", "2", "3"} {
				table.HandleHeartbeat(Heartbeat{Host: Host{ID: id, Incarnation: 1}, Condition: Condition{Serving: true}})
			}
			if isFirst := isFirstCandidate(table, "2"); isFirst != wasFirst {
				moves++
				wasFirst = isFirst
			}
			if wasFirst {
				table.Suspect("2")
			}
		}
		is.True(moves <= 12) // one failed call in each 200 ms would make 100
	})
}

// isFirstCandidate reports whether a host is the first candidate of any key.
func isFirstCandidate(t *Table, id string) bool {
	for _, first := range firstCandidates(t) {
		if first == id {
			return true
		}
	}
	return false
}

// TestRestartedHostIsTrusted guards against a host that stays suspect for seconds after a
// restart because calls to its previous incarnation failed.
func TestRestartedHostIsTrusted(t *testing.T) {
	is := is.New(t)
	table := newTestTable(4, true)
	table.Suspect("2")
	table.HandleHeartbeat(Heartbeat{Host: Host{ID: "2", Incarnation: 1}, Condition: Condition{Serving: true}})
	table.Suspect("2")
	table.HandleHeartbeat(Heartbeat{Host: Host{ID: "2", Incarnation: 1}, Condition: Condition{Serving: true}})
	is.True(!isFirstCandidate(table, "2"))
	table.HandleHeartbeat(Heartbeat{Host: Host{ID: "2", Incarnation: 2}, Condition: Condition{Serving: true}})
	is.True(isFirstCandidate(table, "2"))
}

// TestOverload guards against reporting overload after a single pause, and against a state
// that changes with each measurement.
func TestOverload(t *testing.T) {
	is := is.New(t)
	var s OverloadDetector
	s.observe(10 * time.Second)
	is.True(!s.Overloaded()) // one pause
	for range 20 {
		s.observe(40 * time.Millisecond)
	}
	is.True(s.Overloaded())
	s.observe(0)
	is.True(s.Overloaded())
	for range 20 {
		s.observe(time.Millisecond)
	}
	is.True(!s.Overloaded())
}
