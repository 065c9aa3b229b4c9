package peers

import (
	"strconv"
	"testing"

	"github.com/matryer/is"

	"cowslipgw/internal/boottime"
)

// newTestTable returns the table of host 0 in a fleet of count hosts, after a heartbeat of
// each other host.
func newTestTable(count int, healthy bool) *Table {
	t := NewTable(Host{ID: "0"}, func() bool { return healthy })
	for n := 1; n < count; n++ {
		t.HandleHeartbeat(Heartbeat{Host: Host{ID: strconv.Itoa(n), Incarnation: 1}, Condition: Condition{Serving: true}})
	}
	return t
}

// firstCandidates returns the IDs of the first candidates of 50 keys.
func firstCandidates(t *Table) []string {
	var ids []string
	for key := range uint64(50) {
		ids = append(ids, t.Candidates(key, 1)[0].ID)
	}
	return ids
}

// TestOwnersAreSpread guards against a host that owns far more keys than its share.
func TestOwnersAreSpread(t *testing.T) {
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

// TestSuspectIsPassedOver guards against further calls to a host that has just failed a
// call, until its next heartbeat arrives.
func TestSuspectIsPassedOver(t *testing.T) {
	is := is.New(t)
	table := newTestTable(4, true)
	before := firstCandidates(table)
	table.Suspect("2")
	for _, id := range firstCandidates(table) {
		is.True(id != "2")
	}
	table.HandleHeartbeat(Heartbeat{Host: Host{ID: "2", Incarnation: 1}, Condition: Condition{Serving: true}})
	is.Equal(firstCandidates(table), before)
}

// TestOwnersMoveInPartialOutage guards against keys that stay with hosts which cannot write
// to the store, and against keys that change their owner while no host can.
func TestOwnersMoveInPartialOutage(t *testing.T) {
	is := is.New(t)
	table := newTestTable(4, true)
	before := firstCandidates(table)
	lost := func(ids ...string) {
		for _, id := range ids {
			table.HandleHeartbeat(Heartbeat{Host: Host{ID: id, Incarnation: 1}, Condition: Condition{Serving: true, StoreLost: true}})
		}
	}
	lost("3")
	for _, id := range firstCandidates(table) {
		is.True(id != "3")
	}
	is.True(table.StoreReachableElsewhere())
	lost("1", "2")
	is.Equal(firstCandidates(table), before)
	is.True(!table.StoreReachableElsewhere())
}

// TestServing guards against sending callers to hosts that are dead, leaving or not serving.
func TestServing(t *testing.T) {
	is := is.New(t)
	table := newTestTable(5, true)
	now := boottime.Now()
	table.now = func() boottime.Instant { return now }
	table.Tick()
	now = now.Add(heartbeatTimeout)
	table.HandleHeartbeat(Heartbeat{Host: Host{ID: "1", Incarnation: 1}, Condition: Condition{Serving: true, Leaving: true}})
	table.HandleHeartbeat(Heartbeat{Host: Host{ID: "2", Incarnation: 1}})
	table.HandleHeartbeat(Heartbeat{Host: Host{ID: "4", Incarnation: 1}, Condition: Condition{Serving: true}})
	table.sending.lastTick = now // not paused
	table.Tick()
	hosts := table.Serving("z")
	is.Equal(len(hosts), 1)
	is.Equal(hosts[0].ID, "4")
	table.SetServing(true)
	is.Equal(len(table.Serving("z")), 2)
	table.SetLeaving()
	is.Equal(len(table.Serving("z")), 1)
}

// TestRestartedHostReplacesItself guards against late heartbeats of an earlier incarnation
// that override those of the restarted host.
func TestRestartedHostReplacesItself(t *testing.T) {
	is := is.New(t)
	table := newTestTable(2, true)
	is.True(table.HandleHeartbeat(Heartbeat{Host: Host{ID: "1", Incarnation: 2, Addr: "new"}}))
	is.True(!table.HandleHeartbeat(Heartbeat{Host: Host{ID: "1", Incarnation: 1, Addr: "old"}}))
	is.Equal(table.Others()[0].Addr, "new")
}
