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
	q := Query{Service: "s", Class: "c", Prefer: "3", Gain: 0.5, Size: 70, Exclude: map[string]bool{"7": true}}
	for b.Loop() {
		lease := s.Choose(q)
		lease.Load(Load{Running: 4, Slots: 6, Pace: 1})
		lease.Done(Answered, 4)
	}
}
