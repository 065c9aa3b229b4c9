package partition

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cowslipgw/internal/fleet"
	"cowslipgw/internal/structs"
)

func viewOf(number structs.ViewNumber, hosts, domains int) *fleet.View {
	view := &fleet.View{Number: number}
	for i := range hosts {
		view.Hosts = append(view.Hosts, fleet.Host{
			ID:          structs.HostID(fmt.Sprintf("h%03d", i)),
			Incarnation: structs.Incarnation(i + 1),
			Domain:      structs.Domain(fmt.Sprintf("d%d", i%domains)),
		})
	}
	return view
}

// TestTableSpreads guards against replicas that share a failure domain although there
// are enough, and against hosts that get far more than their share.
func TestTableSpreads(t *testing.T) {
	is := is.New(t)
	table := NewTable(viewOf(1, 12, 3))
	owned := make(map[structs.HostID]int)
	for id := range ID(Count) {
		replicas := table.Replicas(id)
		is.Equal(len(replicas), 3)
		domains := make(map[structs.Domain]bool)
		for _, host := range replicas {
			domains[host.Domain] = true
		}
		is.Equal(len(domains), 3)
		owned[replicas[0].ID]++
	}
	for _, count := range owned {
		is.True(count > Count/12/2 && count < Count/12*2)
	}
}

// TestTableNext guards against an incremental table that differs from a new one, in
// which case hosts would disagree on the owner.
func TestTableNext(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 4).Draw(t, "domains")
		all := viewOf(1, 14, domains)
		draw := func(name string, number structs.ViewNumber) *fleet.View {
			view := &fleet.View{Number: number}
			for _, host := range all.Hosts {
				kind := rapid.IntRange(0, 5).Draw(t, name+string(host.ID))
				host.Leaving = kind == 1
				if kind > 0 {
					view.Hosts = append(view.Hosts, host)
				}
			}
			return view
		}
		table := NewTable(draw("a", 1))
		next := draw("b", 2)
		if got, want := table.Next(next), NewTable(next); got.assignments != want.assignments {
			t.Fatal("the incremental table differs from a new table")
		}
	})
}

func BenchmarkTable(b *testing.B) {
	for _, hosts := range []int{12, 100, 350} {
		view := viewOf(1, hosts, 10)
		gone := &fleet.View{Number: 2, Hosts: view.Hosts[1:]}
		b.Run(fmt.Sprintf("new/hosts=%d", hosts), func(b *testing.B) {
			for b.Loop() {
				NewTable(view)
			}
		})
		table := NewTable(view)
		b.Run(fmt.Sprintf("remove/hosts=%d", hosts), func(b *testing.B) {
			for b.Loop() {
				table.Next(gone)
			}
		})
		smaller := NewTable(gone)
		b.Run(fmt.Sprintf("add/hosts=%d", hosts), func(b *testing.B) {
			for b.Loop() {
				smaller.Next(view)
			}
		})
	}
}
