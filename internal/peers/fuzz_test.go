package peers

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"cowslipgw/internal/event"
)

// FuzzHeartbeat guards against a datagram that ends the process or breaks the table.
func FuzzHeartbeat(f *testing.F) {
	seeds := []Heartbeat{
		{Host: Host{ID: "1", Incarnation: 2, Addr: "127.0.0.1:9", Cores: 0.5}, Condition: Condition{Serving: true}, Hello: true},
		{Host: Host{ID: "0"}, Reports: []Report{{Host: "0", Missing: true}, {Host: "1", Incarnation: 1, Missing: true}}},
		{Host: Host{ID: "2", Incarnation: -1, Addr: "x"}, Usage: map[uint32]Usage{7: {Admitted: 1, Recent: 3}}},
		{Host: Host{ID: "3"}, Notice: Notice{Limits: []ReplicaLimit{{Replica: "r", Incarnation: 5, PerSecond: 12.5}},
			Crashes: []Crash{{Replica: "r", Incarnation: 5}}, Completed: []RequestDigest{{1}}, Quarantined: []Quarantine{{RemainingMS: 9}}}},
	}
	for _, seed := range seeds {
		data, err := cbor.Marshal(seed)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		table := newTestTable(20, true)
		b := &Beacon{table: table, received: func(Heartbeat) {}, events: event.Discard()}
		var beat Heartbeat
		if cbor.Unmarshal(data, &beat) == nil {
			beat.Host.Addr = "" // replies are not sent
			if _, ok := table.Handle(beat); ok {
				b.received(beat)
			}
		}
		table.Tick()
		if known, alive := table.Counts(); alive < 1 || known < alive || len(table.Candidates(1, 3)) == 0 {
			t.Fatalf("%d hosts known, %d alive", known, alive)
		}
	})
}
