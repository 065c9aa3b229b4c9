package replica

import (
	"strconv"
	"testing"

	"cowslipgw/internal/event"
)

// BenchmarkChoose measures the choice among the engines of a large deployment. It runs on each
// request, on hosts with 0.15 cores.
func BenchmarkChoose(b *testing.B) {
	s := NewSet("z", event.Discard())
	for n := range 44 {
		s.Put(Record{ID: strconv.Itoa(n), Service: "s", Addr: "10.0.0.1:" + strconv.Itoa(n), Domain: "z", Slots: 6, Born: 1})
	}
	totals := make(map[uint32]uint16)
	for _, r := range s.services["s"] {
		totals[r.hash] = 4
	}
	s.LearnFleetInFlight(NameHash("s"), totals)
	q := Query{Service: "s", Class: "c", Prefer: "3", Gain: 0.5, Size: 70, Exclude: map[string]bool{"7": true}}
	for n := 0; b.Loop(); n++ {
		if n%1000 == 0 { // the totals count for a second
			s.LearnFleetInFlight(NameHash("s"), totals)
		}
		lease := s.Choose(q)
		lease.Load(Load{Running: 4, Slots: 6, Pace: 1})
		lease.Done(Answered, 4)
	}
}

// BenchmarkLearnFleetInFlight measures what a host does with the totals of a service, five times a
// second.
func BenchmarkLearnFleetInFlight(b *testing.B) {
	s := NewSet("z", event.Discard())
	totals := make(map[uint32]uint16)
	for n := range 44 {
		r := Record{ID: strconv.Itoa(n), Service: "s", Addr: "10.0.0.1:" + strconv.Itoa(n), Domain: "z", Slots: 6, Born: 1}
		s.Put(r)
		totals[r.Incarnation().Hash()] = 4
	}
	for b.Loop() {
		s.LearnFleetInFlight(NameHash("s"), totals)
	}
}
