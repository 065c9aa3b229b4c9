package peers_test

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"cowslipgw/internal/peers"
)

// largeFleet returns a table that knows n hosts, all alive.
func largeFleet(n int) *peers.Table {
	table := peers.NewTable(peers.Host{ID: "self", Incarnation: 1, Cores: 0.5}, func() bool { return true })
	for i := range n - 1 {
		table.HandleHeartbeat(peers.Heartbeat{Host: peers.Host{ID: fmt.Sprintf("host-%d", i), Incarnation: 1,
			Addr: "10.0.0.1:1", Cores: 0.5}, Condition: peers.Condition{Serving: true}})
	}
	return table
}

// BenchmarkCandidates measures the choice of an owner in a fleet of 300 hosts.
func BenchmarkCandidates(b *testing.B) {
	table := largeFleet(300)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		table.Candidates(uint64(n%64)+1, 3)
	}
}

// BenchmarkServing measures one answer of the directory in a fleet of 300 hosts.
func BenchmarkServing(b *testing.B) {
	table := largeFleet(300)
	b.ReportAllocs()
	for b.Loop() {
		table.Serving("z")
	}
}

// BenchmarkHeartbeat measures the decoding of a heartbeat with the usage of 190 accounts.
func BenchmarkHeartbeat(b *testing.B) {
	beat := peers.Heartbeat{Host: peers.Host{ID: "host-1", Incarnation: 1, Addr: "10.0.0.1:1"}, Usage: make(map[uint32]peers.Usage)}
	for n := range uint32(190) {
		beat.Usage[n*7919] = peers.Usage{Admitted: n, Committed: n}
	}
	data, err := cbor.Marshal(beat)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		var got peers.Heartbeat
		if err := cbor.Unmarshal(data, &got); err != nil {
			b.Fatal(err)
		}
	}
}
