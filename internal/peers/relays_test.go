package peers

import (
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// newRelayTable returns the table of host 0 among hosts in two failure domains, of which some have
// lost their links to all replicas.
func newRelayTable(count int, stranded func(n int) bool) *Table {
	t := NewTable(Host{ID: "0", Domain: "d0"}, func() bool { return true })
	t.SetServing(true)
	t.SetStranded(func() bool { return stranded(0) })
	for n := 1; n < count; n++ {
		id := strconv.Itoa(n)
		t.HandleHeartbeat(Heartbeat{Host: Host{ID: id, Incarnation: 1, Domain: "d" + strconv.Itoa(n%2), Relay: "relay" + id},
			Condition: Condition{Serving: true, Stranded: stranded(n), Leaving: n == count-1}})
	}
	return t
}

// TestRelaysReachReplicas guards against requests that are passed to hosts which do not reach
// replicas either, or far away although a host near the replica does.
func TestRelaysReachReplicas(t *testing.T) {
	is := is.New(t)
	table := newRelayTable(10, func(n int) bool { return n < 5 })
	for range 50 {
		hosts := table.Relays("d1", 2)
		is.Equal(len(hosts), 2)
		is.True(hosts[0].ID == "5" || hosts[0].ID == "7")
		is.True(hosts[1].ID == "5" || hosts[1].ID == "7")
	}
	all := table.Relays("d1", 10)
	is.Equal(len(all), 5)
	is.Equal(all[4].ID, "9") // it is leaving
	old := NewTable(Host{ID: "0"}, func() bool { return true })
	old.HandleHeartbeat(Heartbeat{Host: Host{ID: "1", Incarnation: 1}, Condition: Condition{Serving: true}})
	is.Equal(len(old.Relays("", 2)), 0) // a host that passes nothing on
}

// TestCallersAreNotSentToStrandedHosts guards against callers that are sent to hosts without links
// to replicas, and against a few hosts that get all callers.
func TestCallersAreNotSentToStrandedHosts(t *testing.T) {
	is := is.New(t)
	for _, h := range newRelayTable(12, func(n int) bool { return n < 8 }).Serving("") {
		n, err := strconv.Atoi(h.ID)
		is.NoErr(err)
		is.True(n >= 8)
	}
	is.Equal(len(newRelayTable(12, func(n int) bool { return n < 9 }).Serving("")), 11) // one host is leaving
}

// TestIsHost guards against requests that are passed on for callers, and against hosts that are
// taken for callers.
func TestIsHost(t *testing.T) {
	is := is.New(t)
	table := NewTable(Host{ID: "0", Addr: "10.0.0.1:7"}, func() bool { return true })
	table.HandleHeartbeat(Heartbeat{Host: Host{ID: "1", Incarnation: 1, Addr: "10.0.0.12:7"}})
	is.True(table.IsHost("10.0.0.1"))
	is.True(table.IsHost("10.0.0.12"))
	is.True(!table.IsHost("10.0.0.2"))
	is.True(!table.IsHost("10.0.0.120"))
	is.True(!table.IsHost(""))
}
